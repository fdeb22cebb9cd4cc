"""Admission levels: which calls a service refuses while it is overloaded.

A level is a rank in (class, bucket) order; calls of that rank and above are
refused. An open level is above every rank. Tightening a level lowers that
rank, loosening raises it. The algorithm follows DAGOR, the published overload
control of WeChat.
"""

import dataclasses
import math

from sassafras_policy.admission import priorities
from sassafras_policy.admission import rank_counts
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
# The level opens within about a second of doubled steps, whatever the number of
# buckets.
_MAX_STEP = 64.0
_MAX_STEP_SHARE = 1.0 / 6.0
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


class LevelController:
    """The admission level of one target, driven by its queue wait."""

    def __init__(self, scale: priorities.PriorityScale) -> None:
        self._scale = scale
        # Of the ranks that calls had lately, not of all that there are.
        self._arrivals: dict[int, float] = {}
        self._position = float(scale.size)
        self._level = scale.open_level
        self._window_start = 0.0
        self._step = 0.0
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_saturated = False

    @property
    def is_open(self) -> bool:
        """Whether every call is admitted."""
        return self._position >= self._scale.size

    def rescale(self, scale: priorities.PriorityScale) -> None:
        """Applies the priorities of a new configuration; the level stays."""
        if self.is_open:
            self._position = float(scale.size)
        else:
            self._position = scale.position(self._scale.level(self._position))
        self._scale = scale
        self._update_level()

    def value(self, now: float) -> int:
        """Returns the current level, which opens while no calls arrive."""
        self._advance(now)
        return self._level

    def record_arrival(self, rank: int, now: float) -> int:
        """Counts a call before its admission is decided; returns the level."""
        self._advance(now)
        self._arrivals[rank] = self._arrivals.get(rank, 0.0) + 1.0
        return self._level

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
        self._update_level()
        self._arrivals = rank_counts.faded(self._arrivals, _HISTORY_DECAY)
        self._window_start = now
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_saturated = False

    def _update_level(self) -> None:
        self._level = int(self._scale.level(math.ceil(self._position)))

    def _tighten(self, share: float) -> None:
        """Excludes the least important `share` of the admitted calls."""
        self._step = 0.0
        admitted = self._admitted_arrivals()
        buckets = sorted(admitted)
        to_shed = sum(admitted[bucket] for bucket in buckets) * share
        for bucket in reversed(buckets):
            if to_shed <= 0.0 or self._position <= _MIN_LEVEL:
                return
            self._position = min(self._position, bucket + 1.0)
            part = self._position - bucket
            calls = admitted[bucket] * part
            if calls > to_shed:
                self._position -= part * to_shed / calls
            else:
                self._position = float(bucket)
            self._position = max(_MIN_LEVEL, self._position)
            to_shed -= calls
        if to_shed > 0.0:
            # A part of the last bucket had been excluded before.
            self._position = _MIN_LEVEL

    def _admitted_arrivals(self) -> dict[int, float]:
        """Returns the arrivals below the level, by position."""
        admitted: dict[int, float] = {}
        last = self._scale.size - 1
        for rank, count in self._arrivals.items():
            bucket = min(int(self._scale.position(rank)), last)
            if bucket < self._position:
                admitted[bucket] = admitted.get(bucket, 0.0) + count
        return admitted

    def _first_step(self) -> float:
        step = _admitted_buckets(self._position) * _FIRST_STEP_SHARE
        return min(_MAX_FIRST_STEP, max(_MIN_FIRST_STEP, step))

    def _loosen(self, span_s: float) -> None:
        size = float(self._scale.size)
        if self._was_saturated or not self._step:
            self._step = self._first_step()
        if self._was_saturated:
            self._position = min(size, self._position + self._step)
            return
        # The steps double while no call finds the target full, so that the
        # level opens soon after a surge even if few calls or none arrive.
        max_step = max(_MAX_STEP, size * _MAX_STEP_SHARE)
        for _ in range(int(span_s / _MIN_WINDOW_S)):
            if self.is_open:
                return
            self._position = min(size, self._position + self._step)
            self._step = min(max_step, self._step * 2)


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

    def rescale(
        self,
        previous: priorities.PriorityScale,
        scale: priorities.PriorityScale,
    ) -> None:
        """Opens the levels that were open before priorities were added.

        Calls of the added ones would be refused until the next responses.
        """
        for estimate in self._estimates.values():
            if estimate.level >= previous.open_level:
                estimate.level = scale.open_level

    def update(
        self,
        service: str,
        level: int,
        scale: priorities.PriorityScale,
        now: float,
    ) -> None:
        """Records the level that a response carried.

        Args:
          service: Name of the service.
          level: The level.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        estimate = self._estimates.get(service)
        if estimate is None or now - estimate.at > _DECAY_DELAY_S + _DECAY_S:
            self._estimates[service] = _LevelEstimate(float(level), now)
            return
        # Most levels are open, and this is done for each response.
        if level != estimate.level:
            weight = 1.0 - math.exp((estimate.at - now) / self._time_constant_s)
            weight = max(_MIN_UPDATE_WEIGHT, weight)
            mean = scale.position(estimate.level)
            mean += weight * (scale.position(level) - mean)
            estimate.level = scale.level(mean)
        estimate.at = now

    def value(
        self, service: str, scale: priorities.PriorityScale, now: float
    ) -> float:
        """Returns the level of a service; it opens while none is recorded.

        Args:
          service: Name of the service.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        estimate = self._estimates.get(service)
        if estimate is None or estimate.level >= scale.open_level:
            return float(scale.open_level)
        decaying_s = now - estimate.at - _DECAY_DELAY_S
        if decaying_s <= 0.0:
            return estimate.level
        decayed = decaying_s / _DECAY_S * scale.size
        return float(scale.level(scale.position(estimate.level) + decayed))

    def refusing_service(
        self,
        services: frozenset[str],
        context: messages.CallContext,
        scale: priorities.PriorityScale,
        now: float,
    ) -> tuple[str, int] | None:
        """Returns the service with the lowest level that refuses the call."""
        found: tuple[str, int] | None = None
        lowest = float(scale.open_level)
        for service in services:
            level = self.value(service, scale, now)
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
