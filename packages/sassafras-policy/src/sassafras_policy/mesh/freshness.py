"""How long ago the active configuration was known to be the newest."""

import dataclasses

# A store that has lost its history may withhold changes from open watches for
# a second before it closes them.
_WATCH_DELAY_S = 1.0
# The age without any proof. It is finite because messages carry it.
_MAX_AGE_S = 1e6


@dataclasses.dataclass(slots=True)
class Freshness:
    """Age of the last proof that no newer configuration exists.

    All times are seconds on one clock that includes time spent suspended, so
    that a process which was frozen does not trust its old configuration.

    Attributes:
      revocation_s: Maximum time that a withdrawn key may still work after the
        change was accepted.
    """

    revocation_s: float
    _confirmed_at: float = -float("inf")

    def confirm(self, at: float) -> None:
        """Records that the configuration was the newest at a given time."""
        self._confirmed_at = max(self._confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Returns the age of the last proof, at most a million seconds."""
        return min(now - self._confirmed_at, _MAX_AGE_S)

    @property
    def valid_s(self) -> float:
        """Time for which a proof permits requests with a key."""
        return self.revocation_s - _WATCH_DELAY_S

    def permits_keys(self, now: float) -> bool:
        """Returns whether requests with a key may be served."""
        age_s = min(now - self._confirmed_at, _MAX_AGE_S)
        return age_s < self.revocation_s - _WATCH_DELAY_S
