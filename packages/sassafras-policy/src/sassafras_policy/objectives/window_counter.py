"""Request counts over several windows, in bounded memory."""

import collections

from sassafras_policy.objectives import burn

_SLOT_S = 30
_SLOT_COUNT = max(burn.WINDOWS_S) // _SLOT_S


class WindowCounter:
    """Counts total and bad requests in slots of 30 seconds for six hours."""

    def __init__(self) -> None:
        self._slots: collections.deque[tuple[int, burn.Counts]] = (
            collections.deque(maxlen=_SLOT_COUNT + 1)
        )

    def record(self, is_bad: bool, now: float) -> None:
        """Counts one request."""
        slot = int(now // _SLOT_S)
        one = burn.Counts(1, int(is_bad))
        if self._slots and self._slots[-1][0] == slot:
            self._slots[-1] = (slot, self._slots[-1][1].plus(one))
        else:
            self._slots.append((slot, one))

    def windows(self, now: float) -> dict[int, burn.Counts]:
        """Returns the counts of each window that ends now."""
        current = int(now // _SLOT_S)
        result = {}
        for window_s in burn.WINDOWS_S:
            oldest = current - window_s // _SLOT_S
            counts = burn.Counts()
            for slot, slot_counts in reversed(self._slots):
                if slot <= oldest:
                    break
                counts = counts.plus(slot_counts)
            result[window_s] = counts
        return result
