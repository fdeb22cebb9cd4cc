"""A limiter with shares in proportion to the demand at each host."""

from sassafras_policy.configuration import document
from sassafras_policy.limits import demand as demands
from sassafras_policy.limits import limiters
from sassafras_policy.limits import static_share

# Hosts exchange their demand every two seconds. A shorter average would move
# shares before the others are notified, and follow single requests.
_TIME_CONSTANT_S = 5.0
# A share grows only after the other hosts have had time to receive the demand
# that causes the growth and to shrink their shares.
_GROWTH_DELAY_S = 2.2
_UPDATE_INTERVAL_S = 0.4
# Fraction of an equal share that a host keeps without demand, for the first
# requests of callers that move to it.
_IDLE_FRACTION = 0.1
# Fraction of the deployment's tolerance added to rates. While hosts briefly
# disagree about demand, their shares may add up to more than the rate; the rest
# of the tolerance covers that.
TOLERANCE_FRACTION = 0.6


class _OrganisationState:
    """Demand and share of one organisation at this host."""

    def __init__(self, now: float) -> None:
        self.arrivals = demands.RateEstimator(_TIME_CONSTANT_S)
        self.bucket = static_share.TokenBucket(0.0, 0.0, now)
        self.fraction = 0.0
        self.updated_at = -_UPDATE_INTERVAL_S
        self._wanted: list[tuple[float, float]] = []

    def update_fraction(self, wanted: float, now: float) -> None:
        """Applies a wanted fraction, growth only after a delay."""
        self._wanted.append((now, wanted))
        while len(self._wanted) > 1 and (
            self._wanted[1][0] <= now - _GROWTH_DELAY_S
        ):
            del self._wanted[0]
        self.fraction = min(fraction for _, fraction in self._wanted)


@limiters.limiters.register("demand-share")
class DemandShare(static_share.StaticShare):
    """Divides each rate in proportion to the demand at the hosts.

    A host whose demand is unknown counts with the average of the others.
    """

    def __init__(self) -> None:
        super().__init__()
        self._states: dict[str, _OrganisationState] = {}
        self._demand_by_node: dict[str, dict[str, float]] = {}
        self._context: limiters.LimiterContext | None = None

    def configure(self, context: limiters.LimiterContext, now: float) -> None:
        """See Limiter."""
        self._context = context
        names = {o.name for o in context.organisations}
        self._states = {
            name: self._states.get(name) or _OrganisationState(now)
            for name in names
        }
        self._buckets = {
            name: state.bucket for name, state in self._states.items()
        }
        for organisation in context.organisations:
            self._update(organisation.name, now)

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is None:
            return limiters.ShareState()
        own = state.arrivals.rate_per_s(now)
        reported = sum(
            d.get(organisation, 0.0) for d in self._demand_by_node.values()
        )
        return limiters.ShareState(
            state.bucket.rate_per_s,
            state.bucket.held(now),
            own,
            own + reported,
        )

    def record_arrival(self, organisation: str, now: float) -> None:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is None:
            return
        state.arrivals.count(now)
        if now - state.updated_at >= _UPDATE_INTERVAL_S:
            self._update(organisation, now)

    @property
    def divides_rates(self) -> bool:
        """See DemandRecorder."""
        return self._context is not None and any(
            self._divided_fraction(organisation) > 0.0
            for organisation in self._context.organisations
        )

    def demand(self, now: float) -> dict[str, float]:
        """See DemandRecorder."""
        return {
            name: round(rate, 2)
            for name, state in self._states.items()
            if (rate := state.arrivals.rate_per_s(now)) >= 0.01
        }

    def record_demand(
        self, node_id: str, demand: dict[str, float], now: float
    ) -> None:
        """See DemandRecorder."""
        self._demand_by_node[node_id] = demand
        for name, state in self._states.items():
            if now - state.updated_at >= _UPDATE_INTERVAL_S:
                self._update(name, now)

    def forget(self, node_id: str) -> None:
        """See DemandRecorder."""
        self._demand_by_node.pop(node_id, None)

    def _update(self, name: str, now: float) -> None:
        context = self._context
        assert context is not None
        organisation = next(o for o in context.organisations if o.name == name)
        state = self._states[name]
        state.updated_at = now
        divided_fraction = self._divided_fraction(organisation)
        # Of a rate that is not divided, the other hosts report no demand, and
        # each would take its own for that of the fleet.
        wanted = (
            self._wanted_fraction(name, state, now)
            if divided_fraction
            else 1.0 / max(1, context.hosts)
        )
        state.update_fraction(wanted, now)
        factor = 1.0 + context.tolerance.ratio * TOLERANCE_FRACTION
        own_fraction = divided_fraction * state.fraction
        state.bucket.resize(
            organisation.rate_per_s * own_fraction * factor,
            max(1.0, organisation.burst * own_fraction)
            if own_fraction
            else 0.0,
            now,
        )

    def _divided_fraction(self, organisation: document.Organisation) -> float:
        """Returns the fraction of a rate that is divided among the hosts."""
        del organisation
        return 1.0

    def _wanted_fraction(
        self, name: str, state: _OrganisationState, now: float
    ) -> float:
        assert self._context is not None
        hosts = max(1, self._context.hosts)
        own = state.arrivals.rate_per_s(now)
        others = [
            demand.get(name, 0.0) for demand in self._demand_by_node.values()
        ]
        known = own + sum(others)
        average = known / (len(others) + 1)
        unknown = max(0, hosts - 1 - len(others))
        total = known + unknown * average
        if total <= 0.0:
            return 1.0 / hosts
        idle_fraction = _IDLE_FRACTION / hosts
        return idle_fraction + (1.0 - _IDLE_FRACTION) * own / total
