"""A share for each host in proportion to the demand at it."""

from sassafras_policy.configuration import document
from sassafras_policy.limits import demand as demands
from sassafras_policy.limits import limiters
from sassafras_policy.limits import static_share

# Hosts exchange their demand every two seconds; a shorter average would move
# shares faster than the others hear of it, and follow single requests.
_TIME_CONSTANT_S = 5.0
# A share grows only after the other hosts have had time to hear of the demand
# that it follows and to give up theirs.
_GROWTH_DELAY_S = 2.2
_UPDATE_INTERVAL_S = 0.4
# Part of an equal share that a host keeps without any demand, for the first
# requests of callers that move to it.
_IDLE_PART = 0.1
# Shares of hosts that disagree for a moment add up to more than the rate, so a
# part of what the deployment tolerates is kept back.
TOLERANCE_USED = 0.6


class _Account:
    """The share of one organisation at this host."""

    def __init__(self, now: float) -> None:
        self.arrivals = demands.Demand(_TIME_CONSTANT_S)
        self.bucket = static_share.TokenBucket(0.0, 0.0, now)
        self.part = 0.0
        self.updated_at = -_UPDATE_INTERVAL_S
        self._wanted: list[tuple[float, float]] = []

    def settle(self, wanted: float, now: float) -> None:
        """Follows a wanted part down at once and up after a delay."""
        self._wanted.append((now, wanted))
        while len(self._wanted) > 1 and (
            self._wanted[1][0] <= now - _GROWTH_DELAY_S
        ):
            del self._wanted[0]
        self.part = min(part for _, part in self._wanted)


@limiters.limiters.register("demand-share")
class DemandShare(static_share.StaticShare):
    """Divides each rate in proportion to the demand at the hosts.

    A host whose demand is not known counts like the average of the others.
    """

    def __init__(self) -> None:
        super().__init__()
        self._accounts: dict[str, _Account] = {}
        self._heard: dict[str, dict[str, float]] = {}
        self._situation: limiters.Situation | None = None

    def configure(self, situation: limiters.Situation, now: float) -> None:
        """See Limiter."""
        self._situation = situation
        names = {o.name for o in situation.organisations}
        self._accounts = {
            name: self._accounts.get(name) or _Account(now) for name in names
        }
        self._buckets = {
            name: account.bucket for name, account in self._accounts.items()
        }
        for organisation in situation.organisations:
            self._update(organisation.name, now)

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is None:
            return limiters.ShareState()
        own = account.arrivals.rate_per_s(now)
        heard = sum(d.get(organisation, 0.0) for d in self._heard.values())
        return limiters.ShareState(
            account.bucket.rate_per_s,
            account.bucket.held(now),
            own,
            own + heard,
        )

    def arrived(self, organisation: str, now: float) -> None:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is None:
            return
        account.arrivals.count(now)
        if now - account.updated_at >= _UPDATE_INTERVAL_S:
            self._update(organisation, now)

    def demand(self, now: float) -> dict[str, float]:
        """See DemandListener."""
        return {
            name: round(rate, 2)
            for name, account in self._accounts.items()
            if (rate := account.arrivals.rate_per_s(now)) >= 0.01
        }

    def heard(self, node_id: str, demand: dict[str, float], now: float) -> None:
        """See DemandListener."""
        self._heard[node_id] = demand
        for name, account in self._accounts.items():
            if now - account.updated_at >= _UPDATE_INTERVAL_S:
                self._update(name, now)

    def forget(self, node_id: str) -> None:
        """See DemandListener."""
        self._heard.pop(node_id, None)

    def _update(self, name: str, now: float) -> None:
        situation = self._situation
        assert situation is not None
        organisation = next(
            o for o in situation.organisations if o.name == name
        )
        account = self._accounts[name]
        account.updated_at = now
        account.settle(self._wanted_part(name, account, now), now)
        factor = 1.0 + situation.tolerance.ratio * TOLERANCE_USED
        divided = self._divided_part(organisation) * account.part
        account.bucket.resize(
            organisation.rate_per_s * divided * factor,
            max(1.0, organisation.burst * divided) if divided else 0.0,
            now,
        )

    def _divided_part(self, organisation: document.Organisation) -> float:
        """Returns the part of a rate that is divided among the hosts."""
        del organisation
        return 1.0

    def _wanted_part(self, name: str, account: _Account, now: float) -> float:
        assert self._situation is not None
        hosts = max(1, self._situation.hosts)
        own = account.arrivals.rate_per_s(now)
        others = [demand.get(name, 0.0) for demand in self._heard.values()]
        known = own + sum(others)
        average = known / (len(others) + 1)
        unknown = max(0, hosts - 1 - len(others))
        total = known + unknown * average
        if total <= 0.0:
            return 1.0 / hosts
        idle = _IDLE_PART / hosts
        return idle + (1.0 - _IDLE_PART) * own / total
