"""Divides the memory for responses among the calls that hold some.

A faulty target may send a response without end. A limit on each response does
not bound their sum, and a limit on the sum alone lets a few of them take it all
from the others. So a response may hold no more than what it leaves free, and
long ones share half of the memory. Without the second rule, responses that each
hold half of what the one before them left take all but 1/64 of it with six.

Clients that leave responses unread would hold this memory for as long as they
like. Their responses give way to those that still fit, the one that has made no
progress for the longest first.
"""

from sassafras_policy.admission import connections

# A longer response is one that holds more than this part of the limit. Six
# short ones beside any number of long ones leave a seventh free.
_SHORT_SHARE = 14


class ResponseBudget:
    """Limits the bytes of responses that a node holds for all calls.

    Attributes:
      stalled: Connections that hold responses which their clients do not read.
    """

    def __init__(
        self,
        limit_bytes: int,
        stalled: connections.StalledConnections | None = None,
    ) -> None:
        self.stalled = stalled or connections.StalledConnections()
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that all calls hold."""
        return self._held_bytes

    def open(self) -> "Reservation":
        """Returns an empty reservation for the responses to one call."""
        return Reservation(self)

    def take(self, held_bytes: int, size: int) -> bool:
        """Adds bytes to a reservation; returns False if it may not grow.

        Args:
          held_bytes: What the reservation holds already.
          size: The bytes to add.
        """
        if not self._fits(held_bytes, size):
            if 2 * (held_bytes + size) > self._limit_bytes:
                # It would not fit either if nothing else were held.
                return False
            while self.stalled.close_longest_wait():
                if self._fits(held_bytes, size):
                    break
            else:
                return False
        self._held_bytes += size
        return True

    def _fits(self, held_bytes: int, size: int) -> bool:
        free_bytes = self._limit_bytes - self._held_bytes - size
        if held_bytes + size > free_bytes:
            return False
        is_short = (held_bytes + size) * _SHORT_SHARE <= self._limit_bytes
        return is_short or 2 * free_bytes >= self._limit_bytes

    def give_back(self, size: int) -> None:
        """Releases bytes."""
        self._held_bytes -= size


class Reservation:
    """Bytes of the responses that one call holds."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that the call holds."""
        return self._held_bytes

    @property
    def stalled(self) -> connections.StalledConnections:
        """Connections that hold responses which their clients do not read."""
        return self._budget.stalled

    def grow(self, size: int) -> bool:
        """Adds bytes; returns False if there is no memory for them."""
        if not self._budget.take(self._held_bytes, size):
            return False
        self._held_bytes += size
        return True

    def shrink_to(self, size: int) -> None:
        """Releases what is held beyond a size."""
        self._budget.give_back(self._held_bytes - size)
        self._held_bytes = size

    def release(self) -> None:
        """Releases all bytes."""
        if self._held_bytes:
            self._budget.give_back(self._held_bytes)
            self._held_bytes = 0
