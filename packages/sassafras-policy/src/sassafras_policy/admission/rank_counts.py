"""Counts of calls by rank that fade with time."""

# Counts that have faded to less than this are forgotten, so that their number
# follows from the ranks that calls had lately.
_MIN_COUNT = 1e-6


def faded(counts: dict[int, float], kept: float) -> dict[int, float]:
    """Returns the counts times the part of them that is kept."""
    return {
        rank: count * kept
        for rank, count in counts.items()
        if count * kept >= _MIN_COUNT
    }
