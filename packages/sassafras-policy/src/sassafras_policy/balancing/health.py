"""What a node has learnt about one target from the calls it sent there."""

import math

_ERROR_DECAY_S = 1.0
_LOAD_DECAY_S = 1.0
_FAILURES_TO_EJECT = 5
_FIRST_EJECTION_S = 5.0
_LONGEST_EJECTION_S = 60.0
# A target without an announced cold start still gets calls gradually: its
# latency is not known and its caches may be empty.
_SLOW_START_S = 2.0
_SMALLEST_SHARE = 0.1


class TargetHealth:
    """Load, errors, ejection and slow start of one target."""

    def __init__(self) -> None:
        self._load = 0.0
        self._load_at = 0.0
        self._errors = 0.0
        self._errors_at = 0.0
        self._failures_in_row = 0
        self._ejected_until = 0.0
        self._ejection_s = 0.0
        self._identity: object = None
        self._serving_since = 0.0

    @property
    def ejection_s(self) -> float:
        """The length of the last ejection; 0 if there was none of late."""
        return self._ejection_s

    def met(self, identity: object, now: float) -> None:
        """Notes the target's identity; a new one starts slowly."""
        if identity == self._identity:
            return
        if self._identity is not None:
            self._ejected_until = 0.0
            self._ejection_s = 0.0
            self._failures_in_row = 0
            self._errors = 0.0
        self._identity = identity
        self._serving_since = max(now, self._ejected_until)

    def succeeded(self, load: float, now: float) -> None:
        """Takes an answer of the target, with the load that it carried."""
        self.reported(load, now)
        self._failures_in_row = 0
        if now - self._ejected_until > self._ejection_s:
            self._ejection_s = 0.0

    def reported(self, load: float, now: float) -> None:
        """Takes the load that an answer or a refusal carried."""
        self._load = load
        self._load_at = now

    def failed(self, now: float, at_once: bool = False) -> bool:
        """Takes an error of the target.

        Args:
          now: The current time.
          at_once: Whether one such error is enough for an ejection, as when
            the target cannot be reached.

        Returns:
          Whether the target is ejected by it.
        """
        self._errors = self.errors(now) + 1.0
        self._errors_at = now
        self._failures_in_row += 1
        if self.is_ejected(now):
            return False
        if not at_once and self._failures_in_row < _FAILURES_TO_EJECT:
            return False
        self._failures_in_row = 0
        self._ejection_s = min(
            _LONGEST_EJECTION_S, max(_FIRST_EJECTION_S, 2 * self._ejection_s)
        )
        self._ejected_until = now + self._ejection_s
        self._serving_since = self._ejected_until
        return True

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is out of the choice."""
        return now < self._ejected_until

    def errors(self, now: float) -> float:
        """Returns recent errors, each fading like a slow call in flight.

        A target that fails fast has few calls in flight and would draw all
        calls to itself if its errors did not count as slow answers.
        """
        return self._errors * math.exp((self._errors_at - now) / _ERROR_DECAY_S)

    def load(self, now: float) -> float:
        """Returns the load last heard, fading with its age.

        Otherwise an old report of a full target would keep calls away from it
        for good.
        """
        return self._load * math.exp((self._load_at - now) / _LOAD_DECAY_S)

    def share(self, cold_start_s: float, now: float) -> float:
        """Returns the part of its capacity to use, 1.0 after slow start."""
        span_s = max(_SLOW_START_S, cold_start_s)
        age_s = max(0.0, now - self._serving_since)
        return min(1.0, max(_SMALLEST_SHARE, age_s / span_s))
