"""Admission levels: whom a service refuses while it is overloaded.

A level is a rank in (class, bucket) order; calls of that rank and above are
refused. An open level is above every rank. To raise a level, in the sense of
the glossary, is to lower that rank. The model is the published work on
WeChat's DAGOR.
"""

import dataclasses
import math

from sassafras_policy.calls import messages

_WINDOW_S = 0.1
_LONGEST_WINDOW_S = 0.5
_WINDOW_CALLS = 10
# Between the two set points the level stays; one alone made it swing by a
# whole answer's delay in both directions. A request waits at each of its calls,
# and a chain of five at 70 ms each left no time for the last one.
_WAIT_HIGH_S = 0.02
_WAIT_LOW_S = 0.01
# The effect of a change is seen only after the calls on their way have ended,
# so each window corrects a part of the excess.
_SHED_PER_DROP = 0.2
_SMALLEST_SHED = 0.02
_LARGEST_SHED = 0.25
_HISTORY_KEPT = 0.9
# First step of an opening level, as a part of the buckets that it admits of
# its class. Under 17-fold load, as with eager retries, seven buckets are the
# whole capacity, and steps of one bucket made the level swing.
_FIRST_STEP_SHARE = 0.02
_SMALLEST_STEP = 0.1
_LARGEST_FIRST_STEP = 1.0
_LARGEST_STEP = 64.0
# Some call must always pass, or a service could not show that it is well.
_LOWEST_LEVEL = 1.0

# A root request that was admitted is not refused further on for a small
# change of the level, as the work done for it would be lost. The margin is a
# part of the buckets that the level admits of its class.
_SUB_CALL_MARGIN = 0.125

_HEARD_SPAN_S = 0.2
_SMALLEST_HEARD_WEIGHT = 0.1
_SILENCE_ALLOWED_S = 0.5
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
        self._window_from = 0.0
        self._step = 0.0
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_full = False

    @property
    def is_open(self) -> bool:
        """Whether every call is admitted."""
        return self._level >= self._open

    def value(self, now: float) -> int:
        """Returns the level now; it opens by itself when no calls come."""
        self._advance(now)
        return math.ceil(self._level)

    def arrived(self, rank: int, now: float) -> None:
        """Counts a call, before it is decided on."""
        self._advance(now)
        self._arrivals[min(rank, len(self._arrivals) - 1)] += 1.0

    def waited(self, wait_s: float) -> None:
        """Takes the queue wait of a call that got a place."""
        self._calls += 1
        self._wait_sum_s += wait_s

    def dropped(self, wait_s: float) -> None:
        """Counts a call that got no place; it counts as a long wait."""
        self._drops += 1
        self.waited(wait_s)

    def found_full(self) -> None:
        """Notes that a call found no free place."""
        self._was_full = True

    def _advance(self, now: float) -> None:
        span_s = now - self._window_from
        if span_s < _WINDOW_S:
            return
        if self._calls < _WINDOW_CALLS and span_s < _LONGEST_WINDOW_S:
            return
        self._close_window(now, span_s)

    def _close_window(self, now: float, span_s: float) -> None:
        mean_wait_s = self._wait_sum_s / self._calls if self._calls else 0.0
        if mean_wait_s > _WAIT_HIGH_S:
            share = self._drops / self._calls * _SHED_PER_DROP
            self._tighten(min(_LARGEST_SHED, max(_SMALLEST_SHED, share)))
        elif mean_wait_s < _WAIT_LOW_S:
            self._loosen(span_s)
        self._arrivals = [count * _HISTORY_KEPT for count in self._arrivals]
        self._window_from = now
        self._calls = 0
        self._drops = 0
        self._wait_sum_s = 0.0
        self._was_full = False

    def _tighten(self, share: float) -> None:
        """Refuses the least important `share` of the calls admitted so far."""
        self._step = 0.0
        admitted = sum(self._arrivals[: math.ceil(self._level)])
        to_shed = admitted * share
        while to_shed > 0.0 and self._level > _LOWEST_LEVEL:
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
        return min(_LARGEST_FIRST_STEP, max(_SMALLEST_STEP, step))

    def _loosen(self, span_s: float) -> None:
        if self._was_full or not self._step:
            self._step = self._first_step()
        if self._was_full:
            self._level = min(self._open, self._level + self._step)
            return
        # While every call finds room the steps double, so that the level is
        # open soon after a surge, also when few calls or none arrive.
        for _ in range(int(span_s / _WINDOW_S)):
            if self.is_open:
                return
            self._level = min(self._open, self._level + self._step)
            self._step = min(_LARGEST_STEP, self._step * 2)


@dataclasses.dataclass(slots=True)
class _Heard:
    level: float
    at: float


class HeardLevels:
    """Levels of services as heard in answers, for refusals upstream.

    The targets of a service have levels of their own, and answers carry them
    in turn; the running mean stands for the service.
    """

    def __init__(self, span_s: float = _HEARD_SPAN_S) -> None:
        """Starts without any level.

        Args:
          span_s: Time constant of the running mean, in seconds.
        """
        self._span_s = span_s
        self._heard: dict[str, _Heard] = {}

    def heard(self, service: str, level: int, now: float) -> None:
        """Takes the level that an answer carried."""
        known = self._heard.get(service)
        if known is None or now - known.at > _SILENCE_ALLOWED_S + _DECAY_S:
            self._heard[service] = _Heard(float(level), now)
            return
        weight = 1.0 - math.exp((known.at - now) / self._span_s)
        weight = max(_SMALLEST_HEARD_WEIGHT, weight)
        known.level += weight * (level - known.level)
        known.at = now

    def value(self, service: str, opened: int, now: float) -> float:
        """Returns the level of a service, which opens in silence.

        Args:
          service: Name of the service.
          opened: The open level of the configuration in force.
          now: The current time.
        """
        known = self._heard.get(service)
        if known is None:
            return float(opened)
        silent_s = now - known.at - _SILENCE_ALLOWED_S
        decayed = max(0.0, silent_s) / _DECAY_S * opened
        return min(float(opened), known.level + decayed)

    def refusing(
        self,
        services: frozenset[str],
        context: messages.CallContext,
        opened: int,
        now: float,
    ) -> tuple[str, int] | None:
        """Returns the service with the lowest level that refuses the call."""
        found: tuple[str, int] | None = None
        lowest = float(opened)
        for service in services:
            level = self.value(service, opened, now)
            if level < lowest and refuses(level, context):
                lowest = level
                found = (service, int(level))
        return found


def retry_after_ms(rank: int, level: int) -> int:
    """Returns when a refused caller may come back.

    A call whose whole class is refused waits longer than one that only had
    an unlucky bucket.
    """
    class_start = rank - rank % messages.BUCKET_COUNT
    return 2000 if level <= class_start else 1000
