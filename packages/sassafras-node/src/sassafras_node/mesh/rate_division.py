"""How a mesh node divides the rates of organisations with the others."""

import dataclasses

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_policy.configuration import document
from sassafras_policy.limits import limiters
from sassafras_policy.membership import roster as rosters
from sassafras_policy.mesh import fleet as fleets
from sassafras_policy.mesh import targets


@events.declare(858, "INFO")
def rates_divided(nodes: int, owned_pools: int, pools: int) -> str:
    """The node counts another number of nodes, or owns other token pools.

    Nodes that own a pool at the same time admit more than the rate together.
    """
    return (
        f"rates divided by {nodes} nodes; {owned_pools} of {pools} pools here"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RateInputs:
    """What a division depends on, besides the other nodes.

    Attributes:
      organisations: The organisations that have a rate.
      own: This node's entry.
      tolerance: What the fleet may admit beyond rate and burst.
    """

    organisations: tuple[document.Organisation, ...]
    own: targets.NodeEntry
    tolerance: limiters.Tolerance


class RateDivision:
    """Keeps the limiter up to date with the nodes that this one counts.

    Attributes:
      changed: Set and replaced when rates are divided anew.
    """

    def __init__(
        self,
        limiter: limiters.Limiter,
        clock: clocks.Clock,
        fleet: fleets.Fleet,
    ) -> None:
        self.changed = trio.Event()
        self._limiter = limiter
        self._clock = clock
        self._fleet = fleet
        self._context: limiters.LimiterContext | None = None
        self._logged: tuple[int, int, int] | None = None

    def configure(self, inputs: RateInputs) -> int:
        """Divides the rates if anything has changed.

        Returns:
          The number of nodes, this one included.
        """
        context = self._make_context(inputs)
        if context != self._context:
            self._context = context
            self._limiter.configure(context, self._clock.now_with_suspend())
            self._log(context)
            changed, self.changed = self.changed, trio.Event()
            changed.set()
        return context.hosts

    def counterparts(
        self, inputs: RateInputs, unsure: frozenset[str]
    ) -> frozenset[str]:
        """Returns the nodes that must count this one before it uses a share.

        Args:
          inputs: What the division depends on.
          unsure: Nodes that may use no share, so that others use it.
        """
        entries = self._fleet.entries
        return self._limiter.counterparts(
            self._make_context(inputs, has_unconfirmed=True),
            frozenset(entry.node_id for entry in entries) - unsure,
            frozenset(e.node_id for e in entries if not e.incarnation),
        )

    @property
    def divides_by_demand(self) -> bool:
        """Whether this node needs to know the demand at every other node."""
        return (
            isinstance(self._limiter, limiters.DemandRecorder)
            and self._limiter.divides_rates
        )

    @property
    def demand(self) -> dict[str, float]:
        """Requests a second that arrive here, by organisation."""
        if self._context is None:
            # Other nodes ping this one before it uses a share.
            return {}
        if not isinstance(self._limiter, limiters.DemandRecorder):
            return {}
        return self._limiter.demand(self._clock.now_with_suspend())

    def record_demand(self, node_id: str, demand: dict[str, float]) -> None:
        """Records the demand at another node."""
        if isinstance(self._limiter, limiters.DemandRecorder):
            self._limiter.record_demand(
                node_id, demand, self._clock.now_with_suspend()
            )

    def restart(self) -> None:
        """Empties this node's part, as others may have used it meanwhile."""
        self._limiter.restart(self._clock.now_with_suspend())

    def forget(self, node_id: str) -> None:
        """Drops the demand of a node that is gone."""
        if isinstance(self._limiter, limiters.DemandRecorder):
            self._limiter.forget(node_id)

    def _make_context(
        self, inputs: RateInputs, has_unconfirmed: bool = False
    ) -> limiters.LimiterContext:
        """Returns the inputs of the limiter.

        Args:
          inputs: What the division depends on.
          has_unconfirmed: Whether nodes of which only a record is known may own
            pools. Requests would wait for one that has gone.
        """
        entries = [*self._fleet.entries, inputs.own]
        return limiters.LimiterContext(
            organisations=inputs.organisations,
            own_id=inputs.own.node_id,
            hosts=len(entries),
            roster=rosters.Roster(),
            settled=True,
            tolerance=inputs.tolerance,
            # A leaving node owns no pools.
            nodes=tuple(
                sorted(
                    entry.node_id
                    for entry in entries
                    if not entry.is_leaving
                    and (entry.incarnation or has_unconfirmed)
                )
            ),
        )

    def _log(self, context: limiters.LimiterContext) -> None:
        division = (
            context.hosts,
            self._limiter.owned_pools,
            len(context.organisations),
        )
        if division != self._logged:
            self._logged = division
            rates_divided(*division)
