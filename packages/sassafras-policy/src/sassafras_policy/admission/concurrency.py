"""A concurrency limit for one target, adapted to the latency of its calls."""

import math
from typing import Protocol

# The limit starts below the announced slots, so that the first latencies are
# measured without queueing inside the target.
_INITIAL_SHARE = 0.5
_WINDOW_S = 0.1
_MIN_SAMPLES = 4
_MAX_SAMPLES = 10
# Latency above this multiple of the baseline counts as queueing.
_SLOW_RATIO = 1.3
# Scheduling delays must not look like queueing at targets that respond within
# a few milliseconds.
_JITTER_S = 0.01
_TRIAL_GRADIENT = 0.875
_LOSS_GRADIENT = 0.5
# A trial succeeds if latency falls by this part of the limit's relative cut.
_TRIAL_SUCCESS_SHARE = 0.5
_BASELINE_DRIFT = 0.2
_BASELINE_FALL = 0.3
# A trial costs an eighth of the throughput for about two service times.
_TRIAL_INTERVAL_S = 10.0


class Limit(Protocol):
    """Calls that may run at one target at once."""

    @property
    def value(self) -> int:
        """The number of calls that may run at once."""
        ...

    @property
    def baseline_s(self) -> float:
        """Latency of a call without queueing; 0 until measured."""
        ...

    def resize(self, slots: int) -> None:
        """Changes the number of announced slots."""
        ...

    def observe(
        self, latency_s: float, success: bool, in_flight: int, now: float
    ) -> None:
        """Records the latency of a finished call."""
        ...


class ConcurrencyLimit:
    """A limit within [1, slots] that follows the latency gradient.

    If the limit is too high, calls queue inside the target and their latency
    rises above the baseline. A target that became slower by itself looks the
    same, but there a lower limit loses throughput without reducing latency.
    So each decrease is a trial: while latency falls with the limit, another
    follows; otherwise the limit is restored and the latency becomes the new
    baseline. Trials also take place periodically, because the baseline of a
    target with fewer slots than announced may include queueing from the start.
    """

    def __init__(
        self,
        slots: int,
        trial_success_share: float = _TRIAL_SUCCESS_SHARE,
        initial_share: float = _INITIAL_SHARE,
        trial_backoff_s: float = 0.0,
    ) -> None:
        """Creates a limit for a target of which no latency is known.

        Args:
          slots: The announced slots.
          trial_success_share: A cut is kept if latency falls by this part of
            it.
          initial_share: Part of the slots at which the limit starts.
          trial_backoff_s: Time without trials after one that failed; doubled
            with each further one.
        """
        self._trial_success_share = trial_success_share
        self._trial_backoff_s = trial_backoff_s
        self._backoff_s = trial_backoff_s
        self._next_trial_at = 0.0
        self._slots = max(1, slots)
        self._limit = float(max(1, math.ceil(self._slots * initial_share)))
        self._baseline_s = 0.0
        self._trial: tuple[float, int] | None = None
        self._last_trial_at = 0.0
        self._window_start = 0.0
        self._samples = 0
        self._losses = 0
        self._latency_sum_s = 0.0
        self._saturated = False

    @property
    def value(self) -> int:
        """The number of calls that may run at once."""
        return int(self._limit)

    @property
    def baseline_s(self) -> float:
        """Latency of a call without queueing; 0 until measured."""
        return self._baseline_s

    def resize(self, slots: int) -> None:
        """Changes the number of announced slots."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, float(self._slots))

    def observe(
        self, latency_s: float, success: bool, in_flight: int, now: float
    ) -> None:
        """Records the latency of a finished call.

        Args:
          latency_s: Time at the target, excluding its calls to other services.
          success: Whether the target responded. Calls with an error response
            must not be recorded.
          in_flight: Calls that were running, including this one.
          now: The current time.
        """
        if now < self._window_start:
            return
        if not success and not self._is_slow(latency_s):
            # A quick failure, such as a lost connection, is no latency sample.
            return
        self._samples += 1
        self._losses += not success
        self._latency_sum_s += latency_s
        limit = int(self._limit)
        self._saturated |= in_flight >= limit
        min_samples = min(_MAX_SAMPLES, max(_MIN_SAMPLES, limit))
        if (
            self._samples >= min_samples
            and now - self._window_start >= _WINDOW_S
        ):
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        mean_s = self._latency_sum_s / self._samples
        lost = self._losses * 2 > self._samples
        saturated = self._saturated
        previous_limit = self.value
        self._start_window(now)
        if lost:
            # Slow calls without a response indicate a target that hangs.
            self._trial = None
            self._limit = max(1.0, self._limit * _LOSS_GRADIENT)
        elif self._trial is not None:
            self._evaluate_trial(mean_s, now)
        else:
            self._follow_gradient(mean_s, saturated, now)
        if self.value < previous_limit:
            # Skips calls that started under the old limit.
            self._start_window(now + mean_s)

    def _follow_gradient(
        self, mean_s: float, saturated: bool, now: float
    ) -> None:
        self._update_baseline(mean_s)
        self._last_trial_at = self._last_trial_at or now
        if saturated and self.value > 1 and now >= self._next_trial_at:
            trial_due = now - self._last_trial_at >= _TRIAL_INTERVAL_S
            if trial_due or self._is_slow(mean_s):
                self._begin_trial(mean_s, now)
                return
        if self._is_slow(mean_s):
            self._baseline_s += _BASELINE_DRIFT * (mean_s - self._baseline_s)
        elif saturated:
            grown = self._limit + math.sqrt(self._limit)
            self._limit = min(float(self._slots), grown)

    def _update_baseline(self, mean_s: float) -> None:
        if not self._baseline_s:
            self._baseline_s = mean_s
        elif mean_s < self._baseline_s:
            # A single window of short calls must not set the baseline.
            self._baseline_s += _BASELINE_FALL * (mean_s - self._baseline_s)

    def _begin_trial(self, mean_s: float, now: float) -> None:
        self._trial = (mean_s, self.value)
        self._last_trial_at = now
        reduced = min(self._limit - 1.0, self._limit * _TRIAL_GRADIENT)
        self._limit = max(1.0, reduced)

    def _is_slow(self, latency_s: float) -> bool:
        return latency_s > _SLOW_RATIO * self._baseline_s + _JITTER_S

    def _evaluate_trial(self, mean_s: float, now: float) -> None:
        assert self._trial is not None
        latency_before_s, limit_before = self._trial
        self._trial = None
        limit_cut = 1.0 - self.value / limit_before
        latency_cut = 1.0 - mean_s / latency_before_s
        if latency_cut >= self._trial_success_share * limit_cut:
            self._backoff_s = self._trial_backoff_s
            self._baseline_s = min(self._baseline_s, mean_s)
            if self.value > 1:
                self._begin_trial(mean_s, now)
            return
        self._next_trial_at = now + self._backoff_s
        self._backoff_s = min(_TRIAL_INTERVAL_S, 2 * self._backoff_s)
        self._baseline_s = mean_s
        self._limit = float(min(limit_before, self._slots))

    def _start_window(self, at: float) -> None:
        self._window_start = at
        self._samples = 0
        self._losses = 0
        self._latency_sum_s = 0.0
        self._saturated = False
