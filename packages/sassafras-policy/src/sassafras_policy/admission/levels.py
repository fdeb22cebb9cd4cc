"""Admission levels: which calls a service refuses while it is overloaded.

A level is a rank in (class, bucket) order; calls of that rank and above are
refused. An open level is above every rank. Tightening a level lowers that
rank, loosening raises it. The algorithm follows DAGOR, the published overload
control of WeChat.
"""

import dataclasses
import math

from sassafras_policy.calls import messages

_MIN_WINDOW_S = 0.1
_MAX_WINDOW_S = 0.5
_MIN_WINDOW_CALLS = 10
# The level holds between the two set points; with a single one it oscillated
# by a full response delay in both directions. The waits of a request add up
# over its calls: at 70 ms each, a chain of five left no time for the last one.
_WAIT_HIGH_S = 0.02
_WAIT_LOW_S = 0.01
# A change takes effect only after the calls in flight have ended, so each
# window corrects a part of the excess.
_SHED_PER_DROP = 0.2
_MIN_SHED = 0.02
_MAX_SHED = 0.25
_HISTORY_DECAY = 0.9
# First step of a level that loosens, as a part of the buckets that it admits
# of its class. Under 17-fold load, as with unbudgeted retries, seven buckets
# are the whole capacity, and steps of one bucket made the level oscillate.
_FIRST_STEP_SHARE = 0.02
_MIN_FIRST_STEP = 0.1
_MAX_FIRST_STEP = 1.0
_MAX_STEP = 64.0
# Some calls must always pass, or the recovery of a service would go unnoticed.
_MIN_LEVEL = 1.0

# A small change of the level must not refuse the sub-calls of an admitted root
# request, as the work done for it would be lost. The margin is a part of the
# buckets that the level admits of its class.
_SUB_CALL_MARGIN = 0.125

_TIME_CONSTANT_S = 0.2
_MIN_UPDATE_WEIGHT = 0.1
_DECAY_DELAY_S = 0.5
_DECAY_S = 2.5


def refuses(level: float, context: messages.CallContext) -> bool:
    """Returns whether a level refuses a call."""
    if context.depth:
        level += _SUB_CALL_MARGIN * _admitted_buckets(level)
    return context.rank >= level


def _admitted_buckets(level: float) -> float:
    """Returns how many buckets of its class a level admits."""
    buckets = level % messages.BUCKET_COUNT
    return buckets or float(messages.BUCKET_COUNT)


def open_level(class_count: int) -> int:
    """Returns the level at which every call is admitted."""
    return max(1, class_count) * messages.BUCKET_COUNT


class LevelController:
    """The admission level of one target, driven by its queue wait."""

    def __init__(self, class_count: int) -> None:
        self._open = float(open_level(class_count))
        self._level = self._open
        self._arrivals = [0.0] * int(self._open)
        self._window_start = 0.0
        self._step = 0.0
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_saturated = False

    @property
    def is_open(self) -> bool:
        """Whether every call is admitted."""
        return self._level >= self._open

    def value(self, now: float) -> int:
        """Returns the current level, which opens while no calls arrive."""
        self._advance(now)
        return math.ceil(self._level)

    def record_arrival(self, rank: int, now: float) -> int:
        """Counts a call before its admission is decided; returns the level."""
        self._advance(now)
        self._arrivals[min(rank, len(self._arrivals) - 1)] += 1.0
        return math.ceil(self._level)

    def record_wait(self, wait_s: float) -> None:
        """Records the queue wait of a call that got a slot."""
        self._calls += 1
        self._wait_sum_s += wait_s

    def record_drop(self, wait_s: float) -> None:
        """Counts a call that got no slot, as a wait of `wait_s`."""
        self._drops += 1
        self.record_wait(wait_s)

    def record_saturation(self) -> None:
        """Records that a call found no free slot."""
        self._was_saturated = True

    def _advance(self, now: float) -> None:
        span_s = now - self._window_start
        if span_s < _MIN_WINDOW_S:
            return
        if self._calls < _MIN_WINDOW_CALLS and span_s < _MAX_WINDOW_S:
            return
        self._close_window(now, span_s)

    def _close_window(self, now: float, span_s: float) -> None:
        mean_wait_s = self._wait_sum_s / self._calls if self._calls else 0.0
        if mean_wait_s > _WAIT_HIGH_S:
            share = self._drops / self._calls * _SHED_PER_DROP
            self._tighten(min(_MAX_SHED, max(_MIN_SHED, share)))
        elif mean_wait_s < _WAIT_LOW_S:
            self._loosen(span_s)
        self._arrivals = [count * _HISTORY_DECAY for count in self._arrivals]
        self._window_start = now
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_saturated = False

    def _tighten(self, share: float) -> None:
        """Excludes the least important `share` of the admitted calls."""
        self._step = 0.0
        admitted = sum(self._arrivals[: math.ceil(self._level)])
        to_shed = admitted * share
        while to_shed > 0.0 and self._level > _MIN_LEVEL:
            bucket = math.ceil(self._level) - 1
            part = self._level - bucket
            calls = self._arrivals[bucket] * part
            if calls > to_shed:
                self._level -= part * to_shed / calls
                return
            self._level = float(bucket)
            to_shed -= calls

    def _first_step(self) -> float:
        step = _admitted_buckets(self._level) * _FIRST_STEP_SHARE
        return min(_MAX_FIRST_STEP, max(_MIN_FIRST_STEP, step))

    def _loosen(self, span_s: float) -> None:
        if self._was_saturated or not self._step:
            self._step = self._first_step()
        if self._was_saturated:
            self._level = min(self._open, self._level + self._step)
            return
        # The steps double while no call finds the target full, so that the
        # level opens soon after a surge even if few calls or none arrive.
        for _ in range(int(span_s / _MIN_WINDOW_S)):
            if self.is_open:
                return
            self._level = min(self._open, self._level + self._step)
            self._step = min(_MAX_STEP, self._step * 2)


@dataclasses.dataclass(slots=True)
class _LevelEstimate:
    level: float
    at: float


class ServiceLevels:
    """Estimated levels of services, for refusals upstream of them.

    Each response carries the level of one target; the level of a service is
    the running mean over its targets.
    """

    def __init__(self, time_constant_s: float = _TIME_CONSTANT_S) -> None:
        """Creates an empty set of levels.

        Args:
          time_constant_s: Time constant of the running mean, in seconds.
        """
        self._time_constant_s = time_constant_s
        self._estimates: dict[str, _LevelEstimate] = {}

    def update(self, service: str, level: int, now: float) -> None:
        """Records the level that a response carried."""
        estimate = self._estimates.get(service)
        if estimate is None or now - estimate.at > _DECAY_DELAY_S + _DECAY_S:
            self._estimates[service] = _LevelEstimate(float(level), now)
            return
        weight = 1.0 - math.exp((estimate.at - now) / self._time_constant_s)
        weight = max(_MIN_UPDATE_WEIGHT, weight)
        estimate.level += weight * (level - estimate.level)
        estimate.at = now

    def value(self, service: str, open_level: int, now: float) -> float:
        """Returns the level of a service; it opens while none is recorded.

        Args:
          service: Name of the service.
          open_level: The open level of the active configuration.
          now: The current time.
        """
        estimate = self._estimates.get(service)
        if estimate is None:
            return float(open_level)
        decaying_s = now - estimate.at - _DECAY_DELAY_S
        decayed = max(0.0, decaying_s) / _DECAY_S * open_level
        return min(float(open_level), estimate.level + decayed)

    def refusing_service(
        self,
        services: frozenset[str],
        context: messages.CallContext,
        open_level: int,
        now: float,
    ) -> tuple[str, int] | None:
        """Returns the service with the lowest level that refuses the call."""
        found: tuple[str, int] | None = None
        lowest = float(open_level)
        for service in services:
            level = self.value(service, open_level, now)
            if level < lowest and refuses(level, context):
                lowest = level
                found = (service, int(level))
        return found


def retry_after_ms(rank: int, level: int) -> int:
    """Returns the Retry-After delay of a refused call.

    The delay is longer if the whole class is refused than if only a part of
    its buckets is.
    """
    class_start = rank - rank % messages.BUCKET_COUNT
    return 2000 if level <= class_start else 1000
