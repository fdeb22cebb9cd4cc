"""Checks admissions against a rate and a burst in every time window."""

from collections.abc import Sequence
import math


def excess(times: Sequence[float], rate_per_s: float, burst: float) -> float:
    """Returns the excess of the window that exceeds its limit most.

    Args:
      times: Sorted times of the admissions, in seconds.
      rate_per_s: Allowed rate.
      burst: Allowed burst.

    Returns:
      The largest difference between admissions in a window and
      rate x time + burst; at most 0 if no window exceeds its limit.
    """
    worst = -math.inf
    lowest = math.inf
    for index, at in enumerate(times):
        position = index - rate_per_s * at
        lowest = min(lowest, position)
        worst = max(worst, position - lowest + 1 - burst)
    return worst


def worst_ratio(
    spans: Sequence[tuple[float, float]], rate_per_s: float, burst: float
) -> float:
    """Returns the largest ratio of admitted to allowed requests.

    A caller knows only that a request was admitted between sending it and
    receiving the response. A window counts only requests that lie within it
    completely, so that network delays cannot cause false violations.

    Args:
      spans: Times of sending and of the response of each admitted request.
      rate_per_s: Allowed rate.
      burst: Allowed burst.
    """
    by_response_time = sorted(spans, key=lambda span: span[1])
    worst = 0.0
    for start, _ in spans:
        count = 0
        for sent, answered in by_response_time:
            if sent >= start:
                count += 1
                allowed = rate_per_s * (answered - start) + burst
                worst = max(worst, count / allowed)
    return worst


def ideal_refusals(
    times: Sequence[float], rate_per_s: float, burst: float
) -> int:
    """Returns how many requests one bucket for all hosts would refuse.

    The bucket is full at first.
    """
    level = burst
    previous = times[0] if times else 0.0
    refused = 0
    for at in times:
        level = min(burst, level + (at - previous) * rate_per_s)
        previous = at
        if level >= 1.0:
            level -= 1.0
        else:
            refused += 1
    return refused
