"""Count of the work in flight, for which a planned stop waits."""

import dataclasses
import math

import trio


@dataclasses.dataclass(slots=True)
class Drain:
    """Counts work in flight and records whether the node is stopping.

    Attributes:
      requested: Set when a planned stop begins.
      in_flight: Number of requests and peer calls that are being served.
      idle: Set while nothing is in flight.
      refuses_new: Whether requests that arrive from now on are refused, also on
        connections that are kept open.
      ends_at: Latest deadline of work that is accepted during a planned stop,
        on the node's clock; infinite before.
    """

    requested: trio.Event
    in_flight: int
    idle: trio.Event
    refuses_new: bool = False
    ends_at: float = math.inf

    def enter(self) -> None:
        """Counts the start of a request or peer call."""
        self.in_flight += 1
        if self.in_flight == 1:
            self.idle = trio.Event()

    def leave(self) -> None:
        """Counts the end of a request or peer call."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self.requested.is_set()


def make_drain() -> Drain:
    """Returns a drain with nothing in flight."""
    idle = trio.Event()
    idle.set()
    return Drain(trio.Event(), 0, idle)
