"""Decides which connections are closed when others need their place.

Clients that nobody controls open connections and leave them idle, send requests
that never end and leave responses unread. A limit alone would let those that
came first hold everything, so the connection that has waited for its client
for the longest gives way. One whose request runs does not wait for its client
and is never closed.
"""

from collections.abc import Callable
from typing import Protocol

_NO_LIMIT = 2**31

Close = Callable[[], None]
Report = Callable[[], None]


class Closable(Protocol):
    """A connection that can be closed at once."""

    def close(self) -> None:
        """Closes it."""
        ...


class SocketBudget:
    """Counts the sockets of a process, and makes room for one more.

    Attributes:
      limit: Sockets that the process may have open.
      open: Sockets that are open.
      reclaimers: Each closes a socket that is of little use and returns whether
        there was one; asked in order when the limit is reached.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.open = 0
        self.reclaimers: list[Callable[[], bool]] = []

    def take(self) -> bool:
        """Counts a socket that is about to be opened; False without room."""
        if self.open >= self.limit and not any(
            reclaim() for reclaim in self.reclaimers
        ):
            return False
        self.open += 1
        return True

    def give_back(self) -> None:
        """Counts a socket that was closed."""
        self.open -= 1


class ConnectionGroup:
    """The accepted connections of one listener.

    Attributes:
      on_closed: Called for each connection that was closed for another.
      on_refused: Called for each connection that was refused.
      on_unread: Called for each connection whose client read nothing for too
        long.
    """

    def __init__(
        self, budget: SocketBudget, limit: int, reserve: int = 0
    ) -> None:
        """Creates an empty group.

        Args:
          budget: Counts all sockets of the process.
          limit: Connections that the group may have.
          reserve: Sockets that it leaves free for others.
        """
        self._budget = budget
        self._limit = limit
        self._reserve = reserve
        # Without the reserve, others could close every connection here.
        self._guaranteed = min(limit, reserve)
        self._members: set[Closable] = set()
        # In the order in which their waits began.
        self._waiting: dict[Closable, None] = {}
        self.on_closed: Report = _ignore
        self.on_refused: Report = _ignore
        self.on_unread: Report = _ignore

    @property
    def count(self) -> int:
        """Number of connections."""
        return len(self._members)

    def admit(self, connection: Closable) -> bool:
        """Adds a connection that waits for its client; False without room."""
        if self._is_full() and not self.close_longest_wait():
            return False
        if not self._budget.take():
            return False
        self._members.add(connection)
        self._waiting[connection] = None
        return True

    def remove(self, connection: Closable) -> None:
        """Removes a connection that has ended."""
        if connection in self._members:
            self._members.remove(connection)
            self._waiting.pop(connection, None)
            self._budget.give_back()

    def wait(self, connection: Closable) -> None:
        """Records that a connection waits for its client from now on."""
        if connection in self._members:
            self._waiting[connection] = None

    def proceed(self, connection: Closable) -> None:
        """Records that a connection does not wait for its client."""
        self._waiting.pop(connection, None)

    def close_longest_wait(self) -> bool:
        """Closes the connection that waits for the longest, if any does."""
        for connection in self._waiting:
            self.remove(connection)
            connection.close()
            self.on_closed()
            return True
        return False

    def _is_full(self) -> bool:
        count = len(self._members)
        if count >= self._limit:
            return True
        free = self._budget.limit - self._budget.open
        return free <= self._reserve and count >= self._guaranteed


class StalledConnections:
    """Connections that hold memory while they wait for their clients.

    The one that has made no progress for the longest is closed first.

    Attributes:
      on_closed: Called for each connection that was closed.
    """

    def __init__(
        self, clock: Callable[[], float] = lambda: 0.0, min_wait_s: float = 0.0
    ) -> None:
        """Creates an empty collection.

        Args:
          clock: Returns the time in seconds.
          min_wait_s: A connection that made progress more recently stays.
        """
        self._clock = clock
        self._min_wait_s = min_wait_s
        self.on_closed: Report = _ignore
        # In the order of their last progress, with its time.
        self._connections: dict[object, tuple[float, Close]] = {}

    def add(self, key: object, close: Close) -> None:
        """Adds a connection, or records its progress.

        Args:
          key: Identifies it.
          close: Closes it and releases what it holds at once.
        """
        self._connections.pop(key, None)
        self._connections[key] = (self._clock(), close)

    def remove(self, key: object) -> None:
        """Removes a connection that does not wait any more."""
        self._connections.pop(key, None)

    def close_longest_wait(self, spared: object = None) -> bool:
        """Closes the connection without progress for the longest, if any.

        Args:
          spared: Key of the connection that needs the memory.
        """
        latest = self._clock() - self._min_wait_s
        for key, (since, close) in self._connections.items():
            if since > latest:
                return False
            if key is not spared:
                del self._connections[key]
                close()
                self.on_closed()
                return True
        return False


def unlimited() -> ConnectionGroup:
    """Returns a group without a limit."""
    return ConnectionGroup(SocketBudget(_NO_LIMIT), _NO_LIMIT)


def _ignore() -> None:
    """Reports nothing."""
