"""Limiters of organisations' rates, chosen by name in the settings."""

from typing import Protocol

from sassafras_base import registry

from sassafras_policy.configuration import document as documents


class Limiter(Protocol):
    """Decides whether a root request of an organisation may be admitted."""

    def configure(
        self, organisations: tuple[documents.Organisation, ...], hosts: int
    ) -> None:
        """Takes over rates and bursts and the number of hosts."""
        ...

    def take(self, organisation: str, now: float) -> bool:
        """Returns whether a token was taken."""
        ...


limiters: registry.Registry[type[Limiter]] = registry.Registry("limiter")


class TokenBucket:
    """A bucket that starts empty and refills at a constant rate."""

    def __init__(self, rate_per_s: float, capacity: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = 0.0
        self._updated = now

    @property
    def level(self) -> float:
        """Tokens at the last update."""
        return self._level

    def resize(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Changes rate and capacity; tokens above the capacity are lost."""
        self.refill(now)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last update."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._level = min(
            self._capacity, self._level + elapsed * self._rate_per_s
        )

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        self.refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


@limiters.register("static-share")
class StaticShare:
    """Gives each host an equal, fixed share; the baseline.

    It refuses organisations whose callers use few of the hosts.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._organisations: dict[str, documents.Organisation] = {}
        self._hosts = 1

    def configure(
        self, organisations: tuple[documents.Organisation, ...], hosts: int
    ) -> None:
        """See Limiter."""
        self._organisations = {o.name: o for o in organisations}
        self._hosts = max(1, hosts)
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if name in self._organisations
        }

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter."""
        limits = self._organisations.get(organisation)
        if limits is None:
            return False
        rate_per_s = limits.rate_per_s / self._hosts
        capacity = max(1.0, limits.burst / self._hosts)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, capacity, now)
            self._buckets[organisation] = bucket
        bucket.resize(rate_per_s, capacity, now)
        return bucket.take(now)
