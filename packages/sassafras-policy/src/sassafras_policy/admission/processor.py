"""The admission level of a node's own processor.

A node that is full answers everything late: its readiness checks, the responses
that are on their way back, and calls whose callers have given up meanwhile. The
queue of its target stays short all the while, so the level of the target does
not show it.
"""

from sassafras_policy.admission import priorities
from sassafras_policy.admission import rank_counts

# A process that was frozen is late once, by any time.
_MAX_LAG_S = 0.2
# Timers are a few milliseconds late at any load.
_FULL_LAG_S = 0.01
# What has piled up is worked off in about this time.
_DRAIN_S = 1.0
_MIN_SHARE = 0.01
# One late timer, as after a freeze, at most halves the share.
_MAX_EXCESS = 1.0
# Growth of the admitted share a second after the node was full last, and the
# increase of that growth: careful at first, open again after a few seconds.
_GROWTH_PER_S = 0.6
_GROWTH_INCREASE_PER_S2 = 0.2
_HISTORY_S = 1.0


class ProcessorAdmission:
    """Turns the lag of the event loop into an admission level.

    The growth of the lag is the excess of the work that arrives over the work
    that is done, so one sample tells which share of the calls is too much.
    """

    def __init__(self) -> None:
        self._open_level = priorities.PriorityScale().open_level
        # Of the ranks that calls had lately, not of all that there are.
        self._arrivals: dict[int, float] = {}
        self._level = self._open_level
        self._share = 1.0
        self._lag_s = 0.0
        self._measured_at = 0.0
        self._full_at = 0.0

    @property
    def lag_s(self) -> float:
        """How late the last timer fired, in seconds."""
        return self._lag_s

    @property
    def level(self) -> int:
        """The level; root requests from that rank on are refused."""
        return self._level

    def rescale(self, scale: priorities.PriorityScale) -> None:
        """Applies the priorities of a new configuration."""
        if scale.open_level != self._open_level:
            self._open_level = scale.open_level
            self._level = self._level_for_share()

    def record_lag(self, lag_s: float, now: float) -> None:
        """Records how late a timer fired, and sets the level by it."""
        lag_s = min(max(0.0, lag_s), _MAX_LAG_S)
        span_s = max(now - self._measured_at, _FULL_LAG_S)
        growth = (lag_s - self._lag_s) / span_s
        self._lag_s = lag_s
        self._measured_at = now
        if lag_s > _FULL_LAG_S:
            self._full_at = now
            excess = growth + lag_s / _DRAIN_S
            excess = min(max(0.0, excess), _MAX_EXCESS)
            self._share = max(_MIN_SHARE, self._share / (1.0 + excess))
        elif self._share < 1.0:
            calm_s = now - self._full_at
            rate = _GROWTH_PER_S + _GROWTH_INCREASE_PER_S2 * calm_s
            self._share = min(1.0, self._share * (1.0 + rate * span_s))
        self._level = self._level_for_share()
        if self._share < 1.0:
            kept = max(0.0, 1.0 - span_s / _HISTORY_S)
            self._arrivals = rank_counts.faded(self._arrivals, kept)
        else:
            self._arrivals.clear()

    def record_call(self, rank: int) -> None:
        """Counts a call that this node has read."""
        self._arrivals[rank] = self._arrivals.get(rank, 0.0) + 1.0

    def _level_for_share(self) -> int:
        """Returns the lowest level that admits the share of the arrivals."""
        if self._share >= 1.0:
            return self._open_level
        ranks = sorted(self._arrivals)
        wanted = self._share * sum(self._arrivals[rank] for rank in ranks)
        for rank in ranks:
            wanted -= self._arrivals[rank]
            if wanted < 0.0:
                return min(max(1, rank), self._open_level)
        return self._open_level
