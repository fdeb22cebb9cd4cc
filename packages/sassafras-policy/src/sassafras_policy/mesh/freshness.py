"""How long ago the configuration in force was known to be the newest."""

import dataclasses

# A store that forgets its history may keep changes back from waiting watches
# for a second before it cuts them.
_WATCH_GAP_S = 1.0
# The age of a proof that was never given; finite, as messages carry it.
_LONGEST_AGE_S = 1e6


@dataclasses.dataclass(slots=True)
class Freshness:
    """Age of the last proof that no newer configuration exists.

    All times are seconds on one clock that includes time spent suspended, as
    a process that was frozen must not trust what it knew before.

    Attributes:
      revocation_s: A withdrawn key must not work later than this after the
        change was accepted.
    """

    revocation_s: float
    _confirmed_at: float = -float("inf")

    def confirm(self, at: float) -> None:
        """Notes that the configuration was the newest at a moment."""
        self._confirmed_at = max(self._confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Returns the age of the last proof, a million seconds at most."""
        return min(now - self._confirmed_at, _LONGEST_AGE_S)

    def permits_keys(self, now: float) -> bool:
        """Returns whether requests with a key may still be served."""
        return self.age_s(now) < self.revocation_s - _WATCH_GAP_S
