"""How long calls take at one target, from its responses and load reports."""

import math

from sassafras_policy.balancing import load_reports

# Weight of one call among those of a route that follow each other closely.
_SAMPLE_WEIGHT = 1 / 16
# A call replaces most of an estimate that is older than this many times its
# own value, so that a target with few calls is not judged by old ones.
_AGE_FACTOR = 10.0
# Errors of few calls do not show which of two estimates is the better one.
_MIN_SAMPLES = 8
# Bounds the memory that configurations with many routes can take.
_MAX_ROUTES = 256
# The reported slowdown has to make predictions better by this factor.
_TRUSTED_ERROR_RATIO = 0.9


class _RouteTimes:
    """Two estimates for one route, and how far each has been off."""

    __slots__ = (
        "measured_error_s",
        "measured_s",
        "reported_error_s",
        "samples",
        "updated_at",
        "usual_s",
    )

    def __init__(self) -> None:
        self.samples = 0
        self.updated_at = 0.0
        # Mean of the measured times.
        self.measured_s = 0.0
        self.measured_error_s = 0.0
        # Mean of the measured times, each divided by the reported slowdown.
        self.usual_s = 0.0
        self.reported_error_s = 0.0


class ServiceTimes:
    """Expected time of a call of each route at the local target.

    A reported slowdown is used as long as it predicts the times that are
    measured afterwards better than their mean does. A report that is false,
    late or missing, or that changes faster than calls arrive, does not.
    """

    def __init__(self) -> None:
        self._slowdown = 1.0
        self._routes: dict[str, _RouteTimes] = {}

    def observe(
        self,
        route: str,
        latency_s: float,
        report: load_reports.LoadReport | None,
        now: float,
    ) -> None:
        """Records a call that the target has executed.

        Args:
          route: Route of the call.
          latency_s: Its time at the target.
          report: The load report in its response.
          now: The current time.
        """
        slowdown = self._slowdown
        self._slowdown = report.slowdown if report is not None else 1.0
        times = self._routes.get(route)
        if times is None:
            if len(self._routes) >= _MAX_ROUTES:
                return
            times = self._routes[route] = _RouteTimes()
            times.measured_s = latency_s
            times.usual_s = latency_s / slowdown
        else:
            age = (now - times.updated_at) / max(times.measured_s, 0.001)
            weight = max(
                _SAMPLE_WEIGHT,
                1 / (times.samples + 1),
                1.0 - math.exp(-age / _AGE_FACTOR),
            )
            error_s = abs(latency_s - times.measured_s)
            times.measured_error_s += _SAMPLE_WEIGHT * (
                error_s - times.measured_error_s
            )
            error_s = abs(latency_s - times.usual_s * slowdown)
            times.reported_error_s += _SAMPLE_WEIGHT * (
                error_s - times.reported_error_s
            )
            times.measured_s += weight * (latency_s - times.measured_s)
            times.usual_s += weight * (latency_s / slowdown - times.usual_s)
        times.samples += 1
        times.updated_at = now

    @property
    def longest_s(self) -> float:
        """Expected time of a call of the slowest route; 0 until measured."""
        return max(map(self.expected_s, self._routes), default=0.0)

    def expected_s(self, route: str) -> float:
        """Returns the expected time of a call now; 0 until measured."""
        times = self._routes.get(route)
        if times is None:
            return 0.0
        if (
            times.samples >= _MIN_SAMPLES
            and times.reported_error_s
            < _TRUSTED_ERROR_RATIO * times.measured_error_s
        ):
            return times.usual_s * self._slowdown
        return times.measured_s
