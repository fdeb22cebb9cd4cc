"""State of the local target."""

from sassafras_base import clock as clocks
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.membership import records
from sassafras_wire.http import pool
from sassafras_wire.settings import node as node_settings

_CONNECT_TIMEOUT_S = 1.0
_STEP = "target.call"


class LocalTarget:
    """The target's last announcement, its connections and its admission.

    Attributes:
      gate: Admits calls to the target.
      pool: Connections to the target.
    """

    def __init__(
        self, settings: node_settings.NodeSettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._announcement: records.Announcement | None = None
        self._announced_at = 0.0
        self._scale = priorities.PriorityScale()
        self._stopped: frozenset[str] = frozenset()
        self.gate = self._new_gate(1)
        self.pool = self._new_pool("127.0.0.1:1", 1)

    @property
    def announcement(self) -> records.Announcement | None:
        """The current announcement, or None."""
        return self._announcement

    @property
    def is_stopped(self) -> bool:
        """Whether operators have stopped the target."""
        return (
            self._announcement is not None
            and self._announcement.address in self._stopped
        )

    @property
    def is_serving(self) -> bool:
        """Whether the target accepts new calls."""
        return (
            self._announcement is not None
            and not self.is_stopped
            and self._announcement.state is records.TargetState.SERVING
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a call would start at once."""
        return self.is_serving and self.gate.load < 1.0

    @property
    def silent_s(self) -> float:
        """Seconds since the last announcement."""
        return self._clock.now() - self._announced_at

    def set_scale(self, scale: priorities.PriorityScale) -> None:
        """Sets the number of call classes of a new configuration."""
        if scale != self._scale:
            self._scale = scale
            if self._announcement is not None:
                self.gate.resize(_slot_count(self._announcement), scale)

    def set_stopped(self, addresses: tuple[str, ...]) -> None:
        """Sets the addresses of the targets that operators have stopped."""
        self._stopped = frozenset(addresses)

    async def announce(self, announcement: records.Announcement) -> None:
        """Applies an announcement from the target."""
        known = self._announcement
        self._announcement = announcement
        self._announced_at = self._clock.now()
        if known is None or known.address != announcement.address:
            await self.pool.close()
            self.pool = self._new_pool(
                announcement.address, announcement.connections
            )
            self.gate = self._new_gate(_slot_count(announcement))
        elif _slot_count(known) != _slot_count(announcement):
            self.gate.resize(_slot_count(announcement), self._scale)

    async def withdraw(self) -> None:
        """Removes a target that no longer announces itself."""
        self._announcement = None
        await self.pool.close()

    def _new_gate(self, slots: int) -> gates.AdmissionGate:
        name = self._settings.policy.admission
        factory = policies.admission_policies.get(name)
        policy = factory(slots, self._scale)  # type: ignore[call-arg]
        return gates.AdmissionGate(policy, self._clock)

    def _new_pool(self, address: str, connections: int) -> pool.ConnectionPool:
        return pool.ConnectionPool(
            address,
            _STEP,
            size=max(1, connections),
            body_limit=self._settings.http.body_bytes,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )


def _slot_count(announcement: records.Announcement) -> int:
    """Returns the announced number of calls that may run at once.

    Calls in excess of the connections would wait outside the ordered queue.
    """
    return min(announcement.slots, announcement.connections)
