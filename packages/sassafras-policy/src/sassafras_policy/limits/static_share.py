"""An equal, fixed share for each host: the baseline."""

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import limiters

_UNKNOWN_ORGANISATION_DUE_S = 1.0
# Keeps due times finite for hosts with next to no share.
_SMALLEST_RATE_PER_S = 0.01


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
        """The rate at which it refills."""
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

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def due_in_s(self, count: int, now: float) -> float:
        """Returns when there will be `count` tokens, in seconds."""
        self._refill(now)
        return max(0.0, count - self._level) / max(
            _SMALLEST_RATE_PER_S, self._rate_per_s
        )

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._level = min(
            self._capacity, self._level + elapsed * self._rate_per_s
        )


@limiters.limiters.register("static-share")
class StaticShare:
    """Gives each host an equal, fixed share; the baseline.

    It refuses organisations whose callers use few of the hosts.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter; nobody is asked."""
        return ()

    def configure(self, situation: limiters.Situation, now: float) -> None:
        """See Limiter.

        A bucket exists from here on. Made at the first request, it would be
        empty and refuse that request.
        """
        hosts = max(1, situation.hosts)
        self._buckets = {
            organisation.name: self._bucket(organisation, hosts, now)
            for organisation in situation.organisations
        }

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return limiters.ShareState()
        return limiters.ShareState(bucket.rate_per_s, bucket.held(now))

    def arrived(self, organisation: str, now: float) -> None:
        """See Limiter; demand changes nothing."""

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter."""
        bucket = self._buckets.get(organisation)
        return bucket is not None and bucket.take(now)

    def due_in_s(self, organisation: str, waiting: int, now: float) -> float:
        """See Limiter."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return _UNKNOWN_ORGANISATION_DUE_S
        return bucket.due_in_s(waiting + 1, now)

    def is_worth_waiting(
        self, organisation: str, waiting: int, longest_s: float, now: float
    ) -> bool:
        """See Limiter."""
        return self.due_in_s(organisation, waiting, now) <= longest_s

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[exchanges.Ask, ...]:
        """See Limiter; nobody is asked."""
        del organisation, waiting, now
        return ()

    def give(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> exchanges.Grant:
        """See Limiter; a node with another setting gets nothing."""
        del organisation, wanted, waiting, now
        return exchanges.Grant(0.0, 0.0, _UNKNOWN_ORGANISATION_DUE_S)

    def receive(
        self,
        ask: exchanges.Ask,
        grant: exchanges.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter; there is nothing to receive."""

    def failed(self, ask: exchanges.Ask, now: float) -> None:
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
