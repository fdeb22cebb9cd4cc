"""Until when a node may use its part of the rates of organisations.

Load: a node that the store rejects, or that was frozen or cut off, while the
others go on. They take its part over once the store has removed its entry.
"""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class RateLease:
    """A part of rates that ends with the lease of the node's entry.

    The store counts the lease from the arrival of a call, and this node from
    before it sent the call. So the node has stopped before the store removes
    the entry, whatever it or the others believe. Under a new lease it goes on
    once those that may have taken its part over have answered that they count
    it. Times are of one clock that includes time spent suspended.

    Attributes:
      until: When this node stops using its part.
      is_counted: Whether the others have answered that they count this node
        under the present lease.
    """

    until: float = -math.inf
    is_counted: bool = False
    _number: int = 0
    _is_running: bool = False
    _ends_at: float = -math.inf

    @property
    def number(self) -> int:
        """How many leases there were, the present one included."""
        return self._number

    def begin(self, ends_at: float) -> None:
        """Records that the entry was written under a new lease.

        Args:
          ends_at: When the lease ends if it is not renewed.
        """
        self._number += 1
        self._is_running = True
        self._ends_at = ends_at
        self.is_counted = False

    def end(self) -> None:
        """Records that the present lease has ended, or lost the entry.

        A renewal of the next lease says nothing before the entry is written
        under it.
        """
        self._is_running = False
        self.is_counted = False

    def renew(self, ends_at: float) -> None:
        """Records that the store has renewed the present lease."""
        if not self._is_running:
            return
        self._ends_at = max(self._ends_at, ends_at)
        if self.is_counted:
            self.until = self._ends_at

    def confirm(self, number: int) -> bool:
        """Records that the others count this node.

        Args:
          number: The lease under which they were asked.

        Returns:
          False if that lease has ended since; nothing changes then.
        """
        if not self._is_running or number != self._number:
            return False
        self.is_counted = True
        self.until = self._ends_at
        return True
