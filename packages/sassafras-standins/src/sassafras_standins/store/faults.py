"""Faults that tests switch on in the store stand-in."""

import dataclasses
import enum


class Mode(enum.StrEnum):
    """How the service behaves."""

    NORMAL = "normal"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


@dataclasses.dataclass(slots=True)
class Faults:
    """The fault in force and the counters of calls.

    Attributes:
      mode: How the service behaves.
      delay_s: Delay of each answer while slow.
      lose_next: How many answers to writes are lost after they took effect.
      calls: Calls by path.
    """

    mode: Mode = Mode.NORMAL
    delay_s: float = 0.0
    lose_next: int = 0
    calls: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, path: str) -> None:
        """Counts a call."""
        self.calls[path] = self.calls.get(path, 0) + 1
