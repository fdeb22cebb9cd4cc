"""Waiting times before a retry at a target that was tried before."""

import random

_INITIAL_S = 0.02
_MAXIMUM_S = 0.5


class Backoff:
    """Doubles from 20 ms up to 500 ms, with jitter.

    Jitter spreads the retries of calls that failed at the same moment. A
    retry at another target needs no wait.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def wait_s(self, retries: int) -> float:
        """Returns the wait before the next retry, given those made before."""
        longest = min(_MAXIMUM_S, _INITIAL_S * 2 ** min(retries, 10))
        return longest * self._random.uniform(0.5, 1.0)
