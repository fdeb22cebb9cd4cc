"""Announcement, connections and admission of the local target."""

import math

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_node.mesh import settings as mesh_settings
from sassafras_node.mesh.targets import performance
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import cold_starts
from sassafras_policy.admission import connections
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.mesh import targets
from sassafras_wire.http import deadlines
from sassafras_wire.http import pool

_CONNECT_TIMEOUT_S = 1.0
_STEP = "target.call"
_BODY_LIMIT = 64 * 1024 * 1024
# A target that has sent nothing for this many announcement intervals has ended
# without deregistering. A single announcement may be seconds late.
_SILENT_INTERVALS = 6.0


@events.declare(814, "INFO")
def target_cold(target_id: str, cold_s: float, cause: str) -> str:
    """The local target is cold, or may be, and gets calls at a low rate.

    `cold_s` is how long it stays so, as far as is known. `cause` is that it has
    announced it, that it had announced nothing for too long, that its address
    refused a connection, or that its zone is no longer evacuated.
    """
    return f"target {target_id} is cold for {cold_s:.1f} s: {cause}"


@events.declare(815, "INFO")
def target_warm(target_id: str) -> str:
    """The local target has announced that it is not cold any more."""
    return f"target {target_id} is warm"


class LocalTarget:
    """The target's current announcement, its connections and its admission.

    Attributes:
      gate: Admits calls.
      cold_start: Limits the calls while the target is cold.
      pool: Connections to the target.
      performance: What its answers show of its speed and pace.
      restored: Set when the node knows what its previous process published.
        Before that, an announcement may be a late one of a target that has
        left.
    """

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        clock: clocks.Clock,
        monitor: deadlines.DeadlineMonitor,
        sockets: connections.SocketBudget | None = None,
    ) -> None:
        self._monitor = monitor
        self._sockets = sockets
        self._settings = settings
        self._silence_limit_s = (
            _SILENT_INTERVALS * settings.bounds.announcement_interval_s
        )
        self._clock = clock
        self._register = targets.LocalTargetRegister()
        self._published: targets.Announcement | None = None
        self._announced_at = -math.inf
        self.restored = trio.Event()
        self._scale = priorities.PriorityScale()
        self.cold_start = cold_starts.ColdStart(
            settings.bounds.cold_rate_tolerance,
            settings.bounds.announcement_interval_s,
        )
        self._is_cold_logged = False
        self.gate = self._new_gate(1)
        self.performance = performance.TargetPerformance(self.gate, clock)
        self.pool = self._new_pool()

    @property
    def announcement(self) -> targets.Announcement | None:
        """The current announcement, or None."""
        return self._register.current

    @property
    def published(self) -> targets.Announcement | None:
        """The announcement that other nodes receive.

        It is replaced only when the target, its state or its capacity changes,
        as each change is written to the store and sent on to every node.
        """
        return self._published

    @property
    def serving(self) -> targets.Announcement | None:
        """The current announcement if the target takes new calls, or None."""
        current = self._register.current
        if (
            current is not None
            and current.state is targets.State.READY
            and self._clock.now() - self._announced_at < self._silence_limit_s
        ):
            return current
        return None

    @property
    def is_serving(self) -> bool:
        """Whether the target takes new calls."""
        return self.serving is not None

    @property
    def is_cold(self) -> bool:
        """Whether the target gets calls at the rate of a cold one only."""
        return self.cold_start.rate_per_s > 0 and self.cold_start.is_cold(
            self._clock.now()
        )

    @property
    def cold_s(self) -> float:
        """How long the target stays cold, as far as is known; 0 if warm."""
        if not self.is_cold:
            return 0.0
        return self.cold_start.remaining_s(self._clock.now())

    def doubt_warmth(self, cause: str) -> None:
        """Considers the target cold until it announces that it is not.

        Args:
          cause: Why, for the log.
        """
        self.cold_start.doubt(self._clock.now())
        self._log_cold(cause)

    def restore(self, previous: targets.Announcement) -> None:
        """Takes over what the previous process of the node published.

        A target that had left stays unused. One that was ready is used again
        after its next announcement.
        """
        if (
            self._register.restore(previous)
            and previous.state is not targets.State.READY
        ):
            self._published = previous

    def set_scale(self, scale: priorities.PriorityScale) -> None:
        """Applies the priorities of a new configuration."""
        if scale != self._scale:
            self._scale = scale
            current = self._register.current
            self.gate.resize(current.capacity if current else 1, scale)

    async def announce(self, announcement: targets.Announcement) -> bool:
        """Applies an announcement; returns whether to publish it."""
        previous = self._register.current
        now = self._clock.now()
        if not self._register.offer(announcement, now):
            return False
        self._announced_at = now
        is_new_start = (
            previous is None
            or previous.target_id != announcement.target_id
            or previous.started_ms != announcement.started_ms
            or self._published is None
        )
        self.cold_start.announce(announcement.cold_start_s, is_new_start, now)
        self._log_cold(
            "announced" if announcement.cold_start_s else "it was silent"
        )
        if is_new_start:
            await self.pool.close()
            self.pool = self._new_pool()
            self.gate = self._new_gate(announcement.capacity)
            self.performance = performance.TargetPerformance(
                self.gate, self._clock
            )
        elif previous and previous.capacity != announcement.capacity:
            self.gate.resize(announcement.capacity, self._scale)
        published = self._published
        if published is not None and _is_same(published, announcement):
            return False
        self._published = announcement
        return True

    def mark_gone(self, target_id: str) -> bool:
        """Marks the target as gone; returns whether it was the current one."""
        if not self._register.mark_gone(
            target_id,
            int(self._clock.wall() * 1000),
            self._clock.now() + self._silence_limit_s,
        ):
            return False
        self._published = self._register.current
        return True

    def _log_cold(self, cause: str) -> None:
        is_cold = self.is_cold
        current = self._register.current
        if is_cold == self._is_cold_logged or current is None:
            return
        self._is_cold_logged = is_cold
        if is_cold:
            target_cold(current.target_id, round(self.cold_s, 3), cause)
        else:
            target_warm(current.target_id)

    def _new_gate(self, slots: int) -> gates.AdmissionGate:
        name = self._settings.policy.admission
        factory = policies.admission_policies.get(name)
        policy = factory(slots, self._scale)  # type: ignore[call-arg]
        return gates.AdmissionGate(policy, self._clock)

    def _new_pool(self) -> pool.ConnectionPool:
        return pool.ConnectionPool(
            self._settings.host.target_address,
            _STEP,
            size=self._settings.resources.sockets // 4,
            body_limit=_BODY_LIMIT,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            monitor=self._monitor,
            budget=self._sockets,
        )


def _is_same(
    published: targets.Announcement, announcement: targets.Announcement
) -> bool:
    """Returns whether other nodes know all that they use of a target."""
    return (
        published.target_id == announcement.target_id
        and published.started_ms == announcement.started_ms
        and published.capacity == announcement.capacity
        and published.state is announcement.state
    )
