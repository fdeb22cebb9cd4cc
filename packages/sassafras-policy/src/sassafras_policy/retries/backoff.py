"""Exponential back-off between attempts at the same target."""

import random

_INITIAL_S = 0.02
_MAX_S = 0.5


class Backoff:
    """Waits that double from 20 ms up to 500 ms, with jitter.

    Jitter spreads the retries of calls that failed at the same time. A retry
    at another target needs no wait.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def wait_s(self, retries: int) -> float:
        """Returns the wait before the next retry, given the number so far."""
        max_wait_s = min(_MAX_S, _INITIAL_S * 2 ** min(retries, 10))
        return max_wait_s * self._random.uniform(0.5, 1.0)
