"""A limiter with an equal, fixed share for each host; the baseline."""

import math

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.limits import transfers

_UNKNOWN_ORGANISATION_WAIT_S = 1.0
# Keeps wait estimates finite for hosts with almost no share.
_MIN_RATE_PER_S = 0.01


class TokenBucket:
    """A bucket that refills at a constant rate; it starts empty by default."""

    def __init__(
        self,
        rate_per_s: float,
        capacity: float,
        now: float,
        level: float = 0.0,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = level
        self._updated = now

    @property
    def rate_per_s(self) -> float:
        """The refill rate."""
        return self._rate_per_s

    def held(self, now: float) -> float:
        """Returns the tokens that can be spent now."""
        self._refill(now)
        return self._level

    def resize(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Changes rate and capacity; tokens above the capacity are lost."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def limit_level(self, level: float, now: float) -> None:
        """Removes the tokens above a level."""
        self._refill(now)
        self._level = min(self._level, level)

    def take(self, now: float) -> bool:
        """Takes one token; returns False when there is none."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def available_in_s(self, count: int, now: float) -> float:
        """Returns the seconds until `count` tokens are available."""
        self._refill(now)
        return max(0.0, count - self._level) / max(
            _MIN_RATE_PER_S, self._rate_per_s
        )

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._level = min(
            self._capacity, self._level + elapsed * self._rate_per_s
        )


@limiters.limiters.register("static-share")
class StaticShare:
    """Gives each host an equal, fixed share.

    An organisation whose callers use only a few hosts is refused below its
    rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._held_until = math.inf

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter; no tokens are requested."""
        return ()

    @property
    def owned_pools(self) -> int:
        """See Limiter."""
        return 0

    def configure(self, context: limiters.LimiterContext, now: float) -> None:
        """See Limiter.

        Buckets start empty, so they are created here: a bucket created by
        the first request would refuse that request.
        """
        hosts = max(1, context.hosts)
        self._buckets = {
            organisation.name: self._bucket(organisation, hosts, now)
            for organisation in context.organisations
        }

    def hold(self, until: float) -> None:
        """See Limiter."""
        self._held_until = until

    def restart(self, now: float) -> None:
        """See Limiter."""
        for bucket in self._buckets.values():
            bucket.limit_level(0.0, now)

    def counterparts(
        self,
        context: limiters.LimiterContext,
        others: frozenset[str],
        unconfirmed: frozenset[str],
    ) -> frozenset[str]:
        """See Limiter; each node's share depends on the number of all."""
        del context, unconfirmed
        return others

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return limiters.ShareState()
        return limiters.ShareState(bucket.rate_per_s, bucket.held(now))

    def record_arrival(self, organisation: str, now: float) -> None:
        """See Limiter; shares do not depend on demand."""

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter."""
        if now >= self._held_until:
            return False
        bucket = self._buckets.get(organisation)
        return bucket is not None and bucket.take(now)

    def available_in_s(
        self, organisation: str, waiting: int, now: float
    ) -> float:
        """See Limiter."""
        bucket = self._buckets.get(organisation)
        if bucket is None or now >= self._held_until:
            return _UNKNOWN_ORGANISATION_WAIT_S
        return bucket.available_in_s(waiting + 1, now)

    def is_worth_waiting(
        self, organisation: str, waiting: int, max_wait_s: float, now: float
    ) -> bool:
        """See Limiter."""
        return self.available_in_s(organisation, waiting, now) <= max_wait_s

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[transfers.TokenRequest, ...]:
        """See Limiter; no tokens are requested."""
        del organisation, waiting, now
        return ()

    def grant_tokens(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> transfers.Grant:
        """See Limiter; nodes with another limiter configured get nothing."""
        del organisation, wanted, waiting, now
        return transfers.Grant(
            0.0, 0.0, _UNKNOWN_ORGANISATION_WAIT_S, has_pool=False
        )

    def receive(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter; there is nothing to receive."""

    def request_failed(
        self, request: transfers.TokenRequest, now: float
    ) -> None:
        """See Limiter; there is nothing in flight."""

    def _bucket(
        self, organisation: documents.Organisation, hosts: int, now: float
    ) -> TokenBucket:
        rate_per_s = organisation.rate_per_s / hosts
        capacity = max(1.0, organisation.burst / hosts)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return TokenBucket(rate_per_s, capacity, now)
        bucket.resize(rate_per_s, capacity, now)
        return bucket
