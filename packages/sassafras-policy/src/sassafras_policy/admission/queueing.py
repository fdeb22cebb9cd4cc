"""The calls that wait for a place at a target."""

import bisect
import dataclasses

MAXIMUM_WAIT_S = 0.1
_CALLS_PER_PLACE = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A call in the queue; the order of the fields is the order of dequeue.

    Attributes:
      priority: Index of its class; the most important goes first.
      bucket: Place of its root request within the class. All calls of a root
        request have the same one, so that under overload some root requests
        get all of their calls served at once, and not all of them a part.
      deadline: Time after which its answer is of no use. The earliest goes
        first, as most work has gone into that root request.
      number: Order of arrival.
      queued_at: When it arrived.
      longest_wait_s: How long it may wait for a place.
    """

    priority: int
    bucket: int
    deadline: float
    number: int
    queued_at: float
    longest_wait_s: float = MAXIMUM_WAIT_S

    def wait_s(self, now: float) -> float:
        """Returns how long it may still wait."""
        latest = min(self.deadline, self.queued_at + self.longest_wait_s)
        return max(0.0, latest - now)


class WaitingQueue:
    """A short queue ordered by class, bucket and deadline."""

    def __init__(self) -> None:
        self._tickets: list[Ticket] = []
        self._next_number = 0

    def __len__(self) -> int:
        """Returns how many calls wait."""
        return len(self._tickets)

    def push(
        self,
        priority: int,
        deadline: float,
        limit: int,
        now: float,
        longest_wait_s: float = MAXIMUM_WAIT_S,
        bucket: int = 0,
    ) -> tuple[Ticket | None, Ticket | None]:
        """Adds a call; a full queue gives up the least important one.

        Returns:
          The ticket of the call, or None when the queue is full of more
          important ones, and the ticket of the call that lost its place.
        """
        self._next_number += 1
        ticket = Ticket(
            priority, bucket, deadline, self._next_number, now, longest_wait_s
        )
        displaced: Ticket | None = None
        if len(self._tickets) >= _CALLS_PER_PLACE * limit:
            if self._tickets[-1] < ticket:
                return None, None
            displaced = self._tickets.pop()
        bisect.insort(self._tickets, ticket)
        return ticket, displaced

    def pop(self) -> Ticket | None:
        """Removes and returns the next call, or None."""
        return self._tickets.pop(0) if self._tickets else None

    def remove(self, ticket: Ticket) -> bool:
        """Removes a call that waits no more; returns whether it was there."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True
