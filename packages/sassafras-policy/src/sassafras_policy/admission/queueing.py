"""The queue of calls that wait for a free slot at a target."""

import bisect
import dataclasses

DEFAULT_MAX_WAIT_S = 0.1
_MAX_WAITING_PER_SLOT = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A call in the queue; tickets sort in the order of dequeue.

    Attributes:
      priority: Index of its class; the most important goes first.
      bucket: Position of its root request within the class. All calls of a
        root request share it, so that under overload some root requests get
        all of their calls executed instead of every one only a part.
      deadline: Time after which its response is useless. The earliest goes
        first, as most work has been done for that root request.
      number: Order of arrival.
      queued_at: Time of arrival.
      max_wait_s: How long it may wait for a slot.
    """

    priority: int
    bucket: int
    deadline: float
    number: int
    queued_at: float
    max_wait_s: float = DEFAULT_MAX_WAIT_S

    def wait_s(self, now: float) -> float:
        """Returns the remaining time that the call may wait."""
        latest = min(self.deadline, self.queued_at + self.max_wait_s)
        return max(0.0, latest - now)


class WaitingQueue:
    """A short queue ordered by class, bucket and deadline."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._next_number = 0

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._tickets)

    def push(
        self,
        priority: int,
        deadline: float,
        limit: int,
        now: float,
        max_wait_s: float = DEFAULT_MAX_WAIT_S,
        bucket: int = 0,
    ) -> tuple[Ticket | None, Ticket | None]:
        """Adds a call; a full queue drops its least important one.

        Returns:
          The ticket of the call, or None if the queue is full of more
          important ones, and the ticket of the call that it displaced.
        """
        self._next_number += 1
        ticket = Ticket(
            priority, bucket, deadline, self._next_number, now, max_wait_s
        )
        displaced: Ticket | None = None
        if len(self._tickets) >= _MAX_WAITING_PER_SLOT * limit:
            if self._tickets[-1] < ticket:
                return None, None
            displaced = self._tickets.pop()
        bisect.insort(self._tickets, ticket)
        return ticket, displaced

    def would_lead(self, priority: int) -> bool:
        """Returns whether a call is more important than all that wait."""
        return not self._tickets or priority < self._tickets[0].priority

    def pop(self) -> Ticket | None:
        """Removes and returns the next call, or None."""
        return self._tickets.pop(0) if self._tickets else None

    def remove(self, ticket: Ticket) -> bool:
        """Removes a call that stopped waiting; returns whether it was there."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True
