"""How many calls a target may run at once, learnt from their latency."""

import math

# A target starts below its announced slots, so that the first latencies show
# it without queueing of its own.
_INITIAL_SHARE = 0.5
_WINDOW_S = 0.1
_MINIMUM_SAMPLES = 4
_MAXIMUM_SAMPLES = 10
# Latency above this multiple of the baseline is taken for queueing.
_TOLERANCE = 1.3
# Delays of the processes involved must not pass for queueing at targets that
# answer within a few milliseconds.
_JITTER_S = 0.01
_TRIAL_GRADIENT = 0.875
_LOSS_GRADIENT = 0.5
# Part of the proportional fall in latency that confirms a lower limit.
_CONFIRMED_FALL = 0.5
_BASELINE_DRIFT = 0.2
_BASELINE_FALL = 0.3
# A trial costs an eighth of the throughput for about two calls' time.
_TRIAL_INTERVAL_S = 10.0


class ConcurrencyLimit:
    """A limit within [1, slots] that follows the latency gradient.

    A limit that is too high shows as latency above the baseline, as calls then
    wait inside the target. A target that became slower by itself shows the
    same, but there a lower limit does not shorten the latency and only loses
    throughput. So a decrease is a trial: while the latency falls with it, the
    next one follows; else the limit is restored and the latency becomes the
    new baseline. A trial is made now and then even without cause, as a target
    with fewer slots than announced may never have shown its real baseline.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._limit = float(max(1, math.ceil(self._slots * _INITIAL_SHARE)))
        self._baseline_s = 0.0
        self._trial: tuple[float, int] | None = None
        self._tried_at = 0.0
        self._window_from = 0.0
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
        """Latency of a call that meets no queue; 0 while not known."""
        return self._baseline_s

    def resize(self, slots: int) -> None:
        """Takes over a new number of announced slots."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, float(self._slots))

    def observe(
        self, latency_s: float, success: bool, in_flight: int, now: float
    ) -> None:
        """Takes the latency of a call that ended.

        Args:
          latency_s: Time at the target, without the time that it spent in
            calls to other services.
          success: Whether the target answered; a call that it answered with
            an error is not reported at all.
          in_flight: Calls that were running, this one included.
          now: The current time.
        """
        if now < self._window_from:
            return
        if not success and not self._is_slow(latency_s):
            # A lost connection says nothing about how long a call takes.
            return
        self._samples += 1
        self._losses += not success
        self._latency_sum_s += latency_s
        self._saturated |= in_flight >= self.value
        wanted = min(_MAXIMUM_SAMPLES, max(_MINIMUM_SAMPLES, self.value))
        if self._samples >= wanted and now - self._window_from >= _WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        mean_s = self._latency_sum_s / self._samples
        lost = self._losses * 2 > self._samples
        saturated = self._saturated
        before = self.value
        self._start_window(now)
        if lost:
            # Calls that end without an answer show a target that hangs.
            self._trial = None
            self._limit = max(1.0, self._limit * _LOSS_GRADIENT)
        elif self._trial is not None:
            self._judge_trial(mean_s, now)
        else:
            self._follow_gradient(mean_s, saturated, now)
        if self.value < before:
            # Calls that began under the old limit are not counted.
            self._start_window(now + mean_s)

    def _follow_gradient(
        self, mean_s: float, saturated: bool, now: float
    ) -> None:
        self._learn_baseline(mean_s)
        self._tried_at = self._tried_at or now
        if saturated and self.value > 1:
            due = now - self._tried_at >= _TRIAL_INTERVAL_S
            if due or self._is_slow(mean_s):
                self._begin_trial(mean_s, now)
                return
        if self._is_slow(mean_s):
            self._baseline_s += _BASELINE_DRIFT * (mean_s - self._baseline_s)
        elif saturated:
            grown = self._limit + math.sqrt(self._limit)
            self._limit = min(float(self._slots), grown)

    def _learn_baseline(self, mean_s: float) -> None:
        if not self._baseline_s:
            self._baseline_s = mean_s
        elif mean_s < self._baseline_s:
            # One window of short calls must not set the baseline alone.
            self._baseline_s += _BASELINE_FALL * (mean_s - self._baseline_s)

    def _begin_trial(self, mean_s: float, now: float) -> None:
        self._trial = (mean_s, self.value)
        self._tried_at = now
        reduced = min(self._limit - 1.0, self._limit * _TRIAL_GRADIENT)
        self._limit = max(1.0, reduced)

    def _is_slow(self, latency_s: float) -> bool:
        return latency_s > _TOLERANCE * self._baseline_s + _JITTER_S

    def _judge_trial(self, mean_s: float, now: float) -> None:
        assert self._trial is not None
        before_s, before_limit = self._trial
        self._trial = None
        proportional = 1.0 - self.value / before_limit
        if 1.0 - mean_s / before_s >= _CONFIRMED_FALL * proportional:
            self._baseline_s = min(self._baseline_s, mean_s)
            if self.value > 1:
                self._begin_trial(mean_s, now)
            return
        self._baseline_s = mean_s
        self._limit = float(min(before_limit, self._slots))

    def _start_window(self, at: float) -> None:
        self._window_from = at
        self._samples = 0
        self._losses = 0
        self._latency_sum_s = 0.0
        self._saturated = False
