"""How many admissions a rate and a burst allow in every time window."""

from collections.abc import Sequence
import math


def excess(times: Sequence[float], rate_per_s: float, burst: float) -> float:
    """Returns by how many requests the worst window exceeds its bound.

    Args:
      times: Times of the admissions, in seconds and in order.
      rate_per_s: The rate.
      burst: The burst.

    Returns:
      The largest difference between admissions in a window and
      rate x time + burst; at most 0 when the bound is kept.
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

    Callers know only that a request was admitted between sending it and
    receiving its answer. A window counts the requests that lie wholly in it,
    so that delays on the way cannot show a violation that is none.

    Args:
      spans: Time of sending and of the answer of each admitted request.
      rate_per_s: The rate.
      burst: The burst.
    """
    by_answer = sorted(spans, key=lambda span: span[1])
    worst = 0.0
    for start, _ in spans:
        count = 0
        for sent, answered in by_answer:
            if sent >= start:
                count += 1
                allowed = rate_per_s * (answered - start) + burst
                worst = max(worst, count / allowed)
    return worst


def ideal_refusals(
    times: Sequence[float], rate_per_s: float, burst: float
) -> int:
    """Returns how many requests one full bucket for all hosts would refuse."""
    level = burst
    last = times[0] if times else 0.0
    refused = 0
    for at in times:
        level = min(burst, level + (at - last) * rate_per_s)
        last = at
        if level >= 1.0:
            level -= 1.0
        else:
            refused += 1
    return refused
