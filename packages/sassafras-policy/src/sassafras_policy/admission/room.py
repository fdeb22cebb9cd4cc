"""Measures how much room one target has for further calls."""

import math

from sassafras_policy.calls import reports

# Time constants of the running means. An arrival rate needs some tens of calls,
# which targets with a few slots get in about this time.
_ARRIVALS_TIME_CONSTANT_S = 0.25
_LATENCY_WEIGHT = 0.05
# Bounds the weight of a single call.
_MIN_PART = 0.05


class RoomMeter:
    """Compares the work that arrives at a target with what it can do.

    The length of a queue tells how much work has arrived in excess, but only
    after it has. The ratio of arrival rate and service rate tells it before.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._offered_per_s = 0.0
        self._updated_at = 0.0
        self._latency_s = 0.0
        self._responses = 0

    @property
    def latency_s(self) -> float:
        """Mean time for which a call holds a slot; 0 until measured."""
        return self._latency_s

    def record_arrival(self, part: float, now: float) -> None:
        """Counts a call, whether or not it is admitted.

        Args:
          part: The part of such requests that its first node admitted. A call
            of a request of which a third was admitted stands for three calls.
          now: The current time.
        """
        self._decay(now)
        self._rate_per_s += 1.0 / _ARRIVALS_TIME_CONSTANT_S
        self._offered_per_s += 1.0 / (
            max(_MIN_PART, part) * _ARRIVALS_TIME_CONSTANT_S
        )

    def record_response(self, latency_s: float) -> None:
        """Records for how long a call held its slot."""
        self._responses += 1
        weight = max(_LATENCY_WEIGHT, 1.0 / self._responses)
        self._latency_s += weight * (latency_s - self._latency_s)

    def room(self, limit: int, waiting: int, now: float) -> reports.Room:
        """Returns the room of the target.

        Args:
          limit: Calls that it runs at once.
          waiting: Calls that wait for a slot.
          now: The current time.
        """
        self._decay(now)
        turnover_s = self._latency_s / max(1, limit)
        return reports.Room(
            self._rate_per_s * turnover_s,
            waiting * turnover_s,
            self._offered_per_s * turnover_s,
        )

    def _decay(self, now: float) -> None:
        span_s = now - self._updated_at
        kept = math.exp(-span_s / _ARRIVALS_TIME_CONSTANT_S)
        self._rate_per_s *= kept
        self._offered_per_s *= kept
        self._updated_at = now
