"""Health of one target, as measured by the calls of this node."""

import math

_ERROR_DECAY_S = 1.0
_LOAD_DECAY_S = 1.0
# A target that gets no calls is tried again after a few seconds.
_REJECTION_DECAY_S = 3.0
# Weight of one call in the share of rejected calls.
_REJECTION_WEIGHT = 0.05
_FAILURES_TO_EJECT = 5
_FIRST_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0
# Minimum length of the slow start. A target without an announced cold start
# also needs one: its latency is unknown and its caches may be empty.
_SLOW_START_S = 2.0
_MIN_CAPACITY_SHARE = 0.1


class TargetHealth:
    """Load, errors, ejection and slow start of one target.

    Attributes:
      cold_until: When the target stops being cold, by its last response.
    """

    def __init__(self) -> None:
        self._load = 0.0
        self._load_at = 0.0
        self._errors = 0.0
        self._errors_at = 0.0
        self._rejected_share = 0.0
        self._rejected_at = 0.0
        self.cold_until = 0.0
        self._consecutive_failures = 0
        self._ejected_until = 0.0
        self._ejection_s = 0.0
        self._identity: object = None
        self._serving_since = 0.0

    @property
    def ejection_s(self) -> float:
        """The length of the last ejection; 0 if there was no recent one."""
        return self._ejection_s

    def set_identity(self, identity: object, now: float) -> bool:
        """Sets the target's identity; a new one begins with a slow start.

        Returns:
          Whether it has replaced another one.
        """
        if identity == self._identity:
            return False
        is_replaced = self._identity is not None
        if is_replaced:
            self._ejected_until = 0.0
            self._ejection_s = 0.0
            self._consecutive_failures = 0
            self._errors = 0.0
            self._rejected_share = 0.0
        self._identity = identity
        self._serving_since = max(now, self._ejected_until)
        return is_replaced

    def record_success(self, load: float, now: float) -> None:
        """Records a response of the target and the load that it carried."""
        self._load = load
        self._load_at = now
        self._consecutive_failures = 0
        if now - self._ejected_until > self._ejection_s:
            self._ejection_s = 0.0

    def record_load(self, load: float, now: float) -> None:
        """Records the load that a response carried."""
        self._load = load
        self._load_at = now

    def record_cold(self, cold_s: float, now: float) -> None:
        """Records for how long the target stays cold; 0 if it is warm."""
        self.cold_until = now + cold_s if cold_s else 0.0

    def record_rejection(self, rejected: bool, now: float) -> None:
        """Records whether the target rejected a call that reached it."""
        if not rejected and not self._rejected_share:
            return
        share = self.rejected_share(now)
        self._rejected_share = share + _REJECTION_WEIGHT * (rejected - share)
        self._rejected_at = now

    def record_failure(self, now: float, at_once: bool = False) -> bool:
        """Records an error of the target.

        Args:
          now: The current time.
          at_once: Whether a single such error causes an ejection, as when the
            target cannot be reached.

        Returns:
          Whether the error caused an ejection.
        """
        self._errors = self.errors(now) + 1.0
        self._errors_at = now
        self._consecutive_failures += 1
        if self.is_ejected(now):
            return False
        if not at_once and self._consecutive_failures < _FAILURES_TO_EJECT:
            return False
        self._consecutive_failures = 0
        self._ejection_s = min(
            _MAX_EJECTION_S, max(_FIRST_EJECTION_S, 2 * self._ejection_s)
        )
        self._ejected_until = now + self._ejection_s
        self._serving_since = self._ejected_until
        return True

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is currently ejected."""
        return now < self._ejected_until

    def errors(self, now: float) -> float:
        """Returns the number of recent errors, which decays over time.

        A target that fails fast has few calls in flight and would attract all
        calls if its errors did not count like slow calls in flight.
        """
        return self._errors * math.exp((self._errors_at - now) / _ERROR_DECAY_S)

    def rejected_share(self, now: float) -> float:
        """Returns the share of recent calls that the target rejected."""
        if not self._rejected_share:
            return 0.0
        return self._rejected_share * math.exp(
            (self._rejected_at - now) / _REJECTION_DECAY_S
        )

    def load(self, now: float) -> float:
        """Returns the last recorded load, which decays over time.

        Without the decay, one report of a full target would keep calls away
        from it for ever.
        """
        return self._load * math.exp((self._load_at - now) / _LOAD_DECAY_S)

    def capacity_share(self, cold_start_s: float, now: float) -> float:
        """Returns the part of the capacity to use; 1.0 after the slow start."""
        span_s = max(_SLOW_START_S, cold_start_s)
        age_s = max(0.0, now - self._serving_since)
        return min(1.0, max(_MIN_CAPACITY_SHARE, age_s / span_s))
