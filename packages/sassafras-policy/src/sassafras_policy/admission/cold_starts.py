"""The rate of calls to a target that is cold.

The node beside a target is the only one that can send to it, so this node
alone keeps the rate; no part of it has to be agreed on with others.
"""

import collections
import math

from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages
from sassafras_policy.limits import limiters

# Deployments compare the calls of any span of this length with the bound.
_WINDOW_S = 1.0
# A call reaches the target up to this much later than the one before it, as
# when a new connection is opened for the earlier one.
_MAX_DELAY_S = 0.25
# Of two announcements that arrive one after the other, the later one was sent
# after the earlier one had arrived or was lost.
_ANNOUNCEMENTS_AFTER_DOUBT = 2
# A target that has not announced itself for this many intervals may have been
# away and may come back cold. A single announcement may be late.
_MAX_SILENT_INTERVALS = 2.5
# Part of the burst that is kept for calls of higher rank. With more, calls of
# low rank would be refused while the rate is not used up.
_RESERVED_SHARE = 0.5


class ColdStart:
    """Whether a target is cold, and which calls it gets while it is.

    A token bucket holds back what exceeds the sustained rate, and the times of
    the last calls what exceeds the bound within one window, also when the
    target turns cold after a second of many calls.

    Attributes:
      rate_per_s: Calls a second that the target bears while cold; 0 for no
        bound. The other methods are of use only where it is above 0.
    """

    def __init__(
        self, tolerance: limiters.Tolerance, announcement_interval_s: float
    ) -> None:
        self.rate_per_s = 0.0
        self._tolerance = tolerance
        self._interval_s = announcement_interval_s
        self._max_silence_s = _MAX_SILENT_INTERVALS * announcement_interval_s
        self._announced_at = -math.inf
        self._burst = max(1.0, tolerance.requests)
        self._cold_until = -math.inf
        self._announcements_needed = 0
        self._tokens = 0.0
        self._refilled_at = 0.0
        # Calls that one window may have, and the times of those in the last.
        self._bound = 0.0
        self._sent_at: collections.deque[float] = collections.deque()

    def configure(self, rate_per_s: float) -> None:
        """Sets the rate of the target's service."""
        if rate_per_s == self.rate_per_s:
            return
        self.rate_per_s = rate_per_s
        self._bound = (
            rate_per_s * (1 + self._tolerance.ratio) + self._tolerance.requests
        )

    def announce(
        self, remaining_s: float, is_new_start: bool, now: float
    ) -> None:
        """Records what the target says of itself.

        Args:
          remaining_s: How long it stays cold; 0 if it is warm.
          is_new_start: Whether this is its first announcement after a start.
          now: The current time.
        """
        was_cold = self.is_cold(now)
        if is_new_start:
            self._announcements_needed = 0
        elif self._announcements_needed:
            self._announcements_needed -= 1
        elif self._is_silent(now):
            # It may have been sent before the target was away.
            self._announcements_needed = _ANNOUNCEMENTS_AFTER_DOUBT - 1
        self._announced_at = now
        self._cold_until = now + remaining_s
        self._drain_unless(was_cold, now)

    def doubt(self, now: float) -> None:
        """Considers the target cold until it announces that it is not.

        An announcement that was sent before may still be on its way.
        """
        was_cold = self.is_cold(now)
        self._announcements_needed = _ANNOUNCEMENTS_AFTER_DOUBT
        self._drain_unless(was_cold, now)

    def is_cold(self, now: float) -> bool:
        """Returns whether the target is cold, or may be."""
        return (
            self._announcements_needed > 0
            or now < self._cold_until
            or self._is_silent(now)
        )

    def remaining_s(self, now: float) -> float:
        """Returns how long the target stays cold, as far as is known."""
        needed = self._announcements_needed
        if self._is_silent(now):
            needed = max(needed, 1)
        return max(0.0, self._cold_until - now, needed * self._interval_s)

    def refuses(
        self,
        context: messages.CallContext,
        scale: priorities.PriorityScale,
        now: float,
    ) -> bool:
        """Returns whether a call may not be sent to the target now.

        Args:
          context: Rank of the call.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        if not self.is_cold(now):
            return False
        self._forget_before(now)
        if len(self._sent_at) + 1 > self._bound:
            return True
        self._refill(now)
        return self._tokens < self._wanted_tokens(context, scale)

    def record_call(self, now: float) -> None:
        """Counts a call that is about to be sent, to a warm target as well."""
        self._sent_at.append(now)
        self._forget_before(now)
        if self.is_cold(now):
            self._refill(now)
            self._tokens -= 1.0

    def _forget_before(self, now: float) -> None:
        """Forgets calls of windows that have ended, or beyond the bound."""
        while self._sent_at and (
            now - self._sent_at[0] >= _WINDOW_S + _MAX_DELAY_S
            or len(self._sent_at) > self._bound
        ):
            self._sent_at.popleft()

    def _wanted_tokens(
        self, context: messages.CallContext, scale: priorities.PriorityScale
    ) -> float:
        """Returns how full the bucket has to be for a call.

        The first calls of less important requests leave a part of it to others.
        A sub-call has the highest rank of its class, as the work done for its
        request would be lost.
        """
        rank = context.rank
        if context.depth:
            rank -= context.bucket
        reserved = (self._burst - 1.0) * _RESERVED_SHARE
        return 1.0 + reserved * scale.position(rank) / scale.size

    def _is_silent(self, now: float) -> bool:
        return now - self._announced_at > self._max_silence_s

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now

    def _drain_unless(self, was_cold: bool, now: float) -> None:
        """Empties the bucket of a target that has just become cold.

        It may have been cold since its last announcement, with the calls of a
        warm one.
        """
        if not was_cold:
            self._tokens = 1.0
            self._refilled_at = now
