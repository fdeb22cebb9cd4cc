"""A common pool for each rate, beside a small share for each host."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.configuration import document
from sassafras_policy.limits import demand_share
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import limiters
from sassafras_policy.limits import static_share

# The part of a rate that lies in the pool. The rest is divided by demand and
# serves while the host that keeps the pool cannot be asked.
_POOL_PART = 0.75
# Room for one token at each host, as a part of the requests that a deployment
# tolerates beyond rate and burst.
_ROOM_USED = 0.85
# What a new keeper begins with, as a part of the requests that a deployment
# tolerates beyond rate and burst. With rolling restarts keepers change several
# times in a window.
_FIRST_LEVEL = 0.2
# Tokens that were granted and not used are lost after this time, so that a
# host cannot save them up.
_GRANT_LIFETIME_S = 1.0
# A pool that could not be asked is asked again after this time.
_FAILURE_PAUSE_S = 0.3
# Tokens for the requests of this span are asked for together, and a host that
# did not get all it wanted waits as long before it asks again. Without the
# pause, 16 hosts asked a short pool every few milliseconds; its keeper had no
# time left to answer, and only the local parts of all rates were served.
_AHEAD_S = 0.1
# Requests that wait for the answer to one ask. More of them are a sign of an
# organisation far above its rate, and waiting only adds to the work.
_MOST_WAITING = 8
_UNKNOWN_ORGANISATION_DUE_S = 1.0


@dataclasses.dataclass(slots=True)
class _Purse:
    """Tokens of one organisation that the pool granted to this host.

    Attributes:
      keeper: The host that keeps the pool.
      tokens: What is left of the last grant.
      expires_at: When it is lost.
      asked: Number of the ask in flight; 0 for none.
      next_at: Earliest time for another ask.
    """

    keeper: str
    tokens: float = 0.0
    expires_at: float = 0.0
    asked: int = 0
    next_at: float = 0.0

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        if now >= self.expires_at or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@limiters.limiters.register("pooled-share")
class PooledShare(demand_share.DemandShare):
    """Keeps most of each rate in a pool at one host, chosen by hash.

    Small rates over many hosts leave each host a fraction of a request a
    second, and random arrivals then find their share empty although the
    organisation is far below its rate. A pool serves whichever host needs it.
    A host that becomes the keeper starts with next to nothing, so that what
    the keeper before it has just granted is not granted twice.
    """

    def __init__(self) -> None:
        super().__init__()
        self._purses: dict[str, _Purse] = {}
        self._pools: dict[str, static_share.TokenBucket] = {}
        self._own_id = ""
        self._next_number = 1

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter."""
        keepers = {purse.keeper for purse in self._purses.values()}
        return tuple(sorted(keepers - {self._own_id}))

    def configure(self, situation: limiters.Situation, now: float) -> None:
        """See Limiter."""
        super().configure(situation, now)
        self._own_id = situation.own_id
        purses: dict[str, _Purse] = {}
        pools: dict[str, static_share.TokenBucket] = {}
        factor = 1.0 + situation.tolerance.ratio * demand_share.TOLERANCE_USED
        for organisation in situation.organisations:
            name = organisation.name
            nodes = situation.nodes or (situation.own_id,)
            keeper = hashing.rendezvous(name, nodes, 1)[0]
            known = self._purses.get(name)
            kept = known is not None and known.keeper == keeper
            purses[name] = known if known and kept else _Purse(keeper)
            if keeper == situation.own_id:
                pool_part = 1.0 - self._divided_part(organisation)
                rate_per_s = organisation.rate_per_s * pool_part * factor
                capacity = max(1.0, organisation.burst * pool_part)
                pool = self._pools.get(name) if kept else None
                if pool is None:
                    level = situation.tolerance.requests * _FIRST_LEVEL
                    pool = static_share.TokenBucket(
                        rate_per_s, capacity, now, min(level, capacity)
                    )
                pool.resize(rate_per_s, capacity, now)
                pools[name] = pool
        self._purses = purses
        self._pools = pools

    def _divided_part(self, organisation: document.Organisation) -> float:
        """Returns the part of a rate that is not in its pool.

        A host needs room for one token to admit anything. Where the local
        parts are smaller, the room at all hosts together adds to the burst;
        the deployment must tolerate that, or the pool gets everything.
        """
        assert self._situation is not None
        hosts = max(1, self._situation.hosts)
        divided = 1.0 - _POOL_PART
        if organisation.burst * divided >= hosts:
            return divided
        if hosts <= self._situation.tolerance.requests * _ROOM_USED:
            return divided
        return 0.0

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter.

        The local part goes first: what it does not use is lost once it is
        full, while the pool is there for every host.
        """
        if super().take(organisation, now):
            return True
        pool = self._pools.get(organisation)
        if pool is not None and pool.take(now):
            return True
        purse = self._purses.get(organisation)
        return purse is not None and purse.take(now)

    def due_in_s(self, organisation: str, waiting: int, now: float) -> float:
        """See Limiter."""
        purse = self._purses.get(organisation)
        if purse is None:
            return _UNKNOWN_ORGANISATION_DUE_S
        pool = self._pools.get(organisation)
        due_s = super().due_in_s(organisation, waiting, now)
        if pool is not None:
            return min(due_s, pool.due_in_s(waiting + 1, now))
        return min(due_s, max(purse.next_at - now, 0.0) + _AHEAD_S)

    def is_worth_waiting(
        self, organisation: str, waiting: int, longest_s: float, now: float
    ) -> bool:
        """See Limiter."""
        purse = self._purses.get(organisation)
        if purse is None or waiting >= _MOST_WAITING:
            return False
        if purse.keeper != self._own_id and (
            purse.asked or purse.next_at - now <= longest_s
        ):
            return True
        return self.due_in_s(organisation, waiting, now) <= longest_s

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[exchanges.Ask, ...]:
        """See Limiter."""
        purse = self._purses.get(organisation)
        if purse is None or purse.keeper == self._own_id:
            return ()
        if not waiting or purse.asked or now < purse.next_at:
            return ()
        purse.asked = self._next_number
        self._next_number += 1
        ahead = self._accounts[organisation].arrivals.rate_per_s(now) * _AHEAD_S
        return (
            exchanges.Ask(
                number=purse.asked,
                holder=purse.keeper,
                organisation=organisation,
                wanted=waiting + int(ahead),
                planned_at=now,
            ),
        )

    def give(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> exchanges.Grant:
        """See Limiter."""
        del waiting
        pool = self._pools.get(organisation)
        if pool is None:
            return exchanges.Grant(0.0, 0.0, _UNKNOWN_ORGANISATION_DUE_S)
        granted = 0
        while granted < wanted and pool.take(now):
            granted += 1
        next_in_s = 0.0
        if granted < wanted:
            next_in_s = max(_AHEAD_S, pool.due_in_s(1, now))
        return exchanges.Grant(float(granted), _GRANT_LIFETIME_S, next_in_s)

    def receive(
        self,
        ask: exchanges.Ask,
        grant: exchanges.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter."""
        purse = self._purses.get(ask.organisation)
        if purse is None or purse.asked != ask.number:
            return
        purse.asked = 0
        purse.next_at = now + grant.next_in_s
        left = purse.tokens if now < purse.expires_at else 0.0
        purse.tokens = left + grant.granted
        purse.expires_at = sent_at + grant.lifetime_s

    def failed(self, ask: exchanges.Ask, now: float) -> None:
        """See Limiter."""
        purse = self._purses.get(ask.organisation)
        if purse is not None and purse.asked == ask.number:
            purse.asked = 0
            purse.next_at = now + _FAILURE_PAUSE_S
