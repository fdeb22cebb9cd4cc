"""Estimation of the rate of events, such as arriving requests."""

import math

# Smooths single requests, and still follows callers that move to another host
# within a second.
_TIME_CONSTANT_S = 0.2


class RateEstimator:
    """Events a second, as an exponentially weighted average."""

    def __init__(self, time_constant_s: float = _TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._updated = 0.0

    def count(self, now: float) -> None:
        """Counts one event."""
        self._rate_per_s = self.rate_per_s(now) + 1 / self._time_constant_s
        self._updated = now

    def rate_per_s(self, now: float) -> float:
        """Returns the estimated rate."""
        elapsed = max(0.0, now - self._updated)
        return self._rate_per_s * math.exp(-elapsed / self._time_constant_s)
