"""Faults that tests inject into the store stand-in."""

import dataclasses
import enum


class Mode(enum.StrEnum):
    """Fault mode of the store."""

    NORMAL = "normal"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


@dataclasses.dataclass(slots=True)
class Faults:
    """The active fault mode and the counters of calls.

    Attributes:
      mode: Active fault mode.
      delay_s: Delay of each response in mode `SLOW`.
      lose_next: Number of further writes that are applied but get no
        response.
      calls: Number of calls by path.
    """

    mode: Mode = Mode.NORMAL
    delay_s: float = 0.0
    lose_next: int = 0
    calls: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, path: str) -> None:
        """Counts a call."""
        self.calls[path] = self.calls.get(path, 0) + 1
