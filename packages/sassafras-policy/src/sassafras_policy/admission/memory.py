"""Divides the memory for responses among the calls that hold some.

A faulty target may send a response without end. A limit on each response does
not bound their sum, and a limit on the sum alone lets a few of them take it all
from the others. So a response may hold no more than what it leaves free: one
response half of the memory, N of them together N/(N+1), and a small response
always finds room.
"""


class ResponseBudget:
    """Limits the bytes of responses that a node holds for all calls."""

    def __init__(self, limit_bytes: int) -> None:
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
        free_bytes = self._limit_bytes - self._held_bytes - size
        if held_bytes + size > free_bytes:
            return False
        self._held_bytes += size
        return True

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
