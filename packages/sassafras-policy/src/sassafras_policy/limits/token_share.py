"""Token accounting for one organisation at one node."""

import bisect
import collections
import math

# Rounding tolerance, so that sums of fractions such as 0.1 reach a whole token.
EPSILON = 1e-9


class TokenShare:
    """A token bucket that can transfer tokens to and from other nodes.

    Tokens given to another node are outstanding until they expire, and the
    level refills only up to the cap less the outstanding tokens. Level and
    outstanding tokens together never exceed the cap and grow no faster than
    the rate, so the shares of all nodes together admit at most rate x time +
    burst, even when messages between them are lost, duplicated or delayed.

    A new share is empty and does not refill for `wait_s`: the previous process
    of the node may have given tokens that can still be spent.
    """

    def __init__(self, now: float, wait_s: float) -> None:
        self._rate_per_s = 0.0
        self._cap = 0.0
        self._level = 0.0
        self._refilled_until = now + wait_s
        self._outstanding = 0.0
        self._given: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._received: list[tuple[float, float]] = []

    @property
    def rate_per_s(self) -> float:
        """The base rate."""
        return self._rate_per_s

    def resize(self, rate_per_s: float, cap: float, now: float) -> None:
        """Changes rate and cap; tokens above the cap are lost."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._cap = cap
        self._level = min(self._level, max(0.0, cap - self._outstanding))

    def held(self, now: float) -> float:
        """Returns the tokens that can be spent here."""
        self._refill(now)
        return self._level + sum(amount for _, amount in self._received)

    def take(self, now: float) -> bool:
        """Spends one token, received ones first, in order of expiry."""
        if self.held(now) < 1.0 - EPSILON:
            return False
        missing = 1.0
        while self._received and missing > EPSILON:
            expires_at, amount = self._received[0]
            if amount > missing:
                self._received[0] = (expires_at, amount - missing)
                return True
            missing -= amount
            del self._received[0]
        self._level = max(0.0, self._level - missing)
        return True

    def grant_tokens(
        self,
        wanted: float,
        min_amount: float,
        reserve: float,
        lifetime_s: float,
        now: float,
    ) -> float:
        """Deducts and returns tokens for another node.

        Args:
          wanted: Maximum to give.
          min_amount: Minimum to give; with fewer available, none are given.
          reserve: Tokens to keep for this node's own requests.
          lifetime_s: How long the receiver may spend them.
          now: The time.
        """
        self._refill(now)
        amount = min(wanted, self._level - reserve)
        if amount <= EPSILON or amount < min_amount - EPSILON:
            return 0.0
        self._level -= amount
        self._outstanding += amount
        # A change of the configuration may shorten the lifetime.
        expires_at = now + lifetime_s
        if self._given:
            expires_at = max(expires_at, self._given[-1][0])
        self._given.append((expires_at, amount))
        return amount

    def receive(self, amount: float, expires_at: float, now: float) -> None:
        """Adds tokens from another node unless they have expired."""
        if amount > 0 and expires_at > now:
            bisect.insort(self._received, (expires_at, amount))

    def available_in_s(self, wanted: float, now: float) -> float:
        """Returns the seconds until the level is `wanted`; inf if never."""
        self._refill(now)
        if self._level >= wanted - EPSILON:
            return 0.0
        if self._rate_per_s <= 0:
            return math.inf
        time_s, level = self._refilled_until, self._level
        outstanding = self._outstanding
        for expires_at, amount in (*self._given, (math.inf, 0.0)):
            free = self._cap - outstanding - level
            if wanted - level <= free + EPSILON:
                return time_s - now + (wanted - level) / self._rate_per_s
            refilled = self._rate_per_s * max(0.0, expires_at - time_s)
            level += max(0.0, min(free, refilled))
            time_s = max(time_s, expires_at)
            outstanding -= amount
        return math.inf

    def _refill(self, now: float) -> None:
        """Applies refills and expiries up to `now`, in order of expiry."""
        while self._given and self._given[0][0] <= now:
            expires_at, amount = self._given.popleft()
            self._refill_until(expires_at)
            self._outstanding = (
                max(0.0, self._outstanding - amount) if self._given else 0.0
            )
        self._refill_until(now)
        while self._received and self._received[0][0] <= now:
            del self._received[0]

    def _refill_until(self, time_s: float) -> None:
        elapsed = time_s - self._refilled_until
        if elapsed <= 0:
            return
        self._refilled_until = time_s
        free = max(0.0, self._cap - self._outstanding - self._level)
        self._level += min(free, elapsed * self._rate_per_s)
