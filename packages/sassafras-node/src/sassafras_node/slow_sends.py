"""Bounds what clients hold that leave their responses unread."""

from collections.abc import Callable
import math

import trio

from sassafras_policy.admission import connections
from sassafras_policy.admission import memory as memories
from sassafras_wire.http import deadlines
from sassafras_wire.http import sockets

# A client that takes less than this makes no progress; it may read a byte at a
# time.
_PROGRESS_BYTES = 64 * 1024


class SlowSends:
    """Watches the sends on one connection that have to wait for the client.

    The connection is closed when the client has read nothing for a while, and
    earlier when others need its place or the memory of its response.
    """

    def __init__(
        self,
        stream: sockets.SocketStream,
        group: connections.ConnectionGroup,
        monitor: deadlines.DeadlineMonitor,
        timeout_s: Callable[[], float],
        memory: memories.Reservation | None = None,
    ) -> None:
        """Observes the sends on a connection.

        Args:
          stream: The connection.
          group: The group that it belongs to.
          monitor: Closes it after a time without progress.
          timeout_s: Returns that time.
          memory: What the response holds, if anything.
        """
        self._stream = stream
        self._group = group
        self._monitor = monitor
        self._timeout_s = timeout_s
        self._memory = memory
        self._progress_bytes = 0
        self._deadline = math.inf
        stream.send_observer = self

    def send_blocked(self, size: int) -> None:
        """See sockets.SendObserver."""
        del size
        self._progress_bytes = 0
        self._group.wait(self._stream)
        self._set_deadline()
        if self._memory is not None:
            self._memory.stalled.add(self, self._abandon)

    def send_progressed(self, size: int) -> None:
        """See sockets.SendObserver."""
        if not size:
            return
        self._set_deadline()
        self._progress_bytes += size
        if self._progress_bytes >= _PROGRESS_BYTES:
            self._progress_bytes = 0
            self._group.proceed(self._stream)
            self._group.wait(self._stream)
            if self._memory is not None:
                self._memory.stalled.add(self, self._abandon)

    def send_ended(self) -> None:
        """See sockets.SendObserver."""
        self._monitor.clear(self._stream)
        if self._stream.fileno() < 0 and (
            trio.current_time() >= self._deadline
        ):
            self._group.on_unread()
        self._group.proceed(self._stream)
        if self._memory is not None:
            self._memory.stalled.remove(self)

    def _set_deadline(self) -> None:
        self._deadline = trio.current_time() + self._timeout_s()
        self._monitor.set(self._stream, self._deadline)

    def _abandon(self) -> None:
        """Closes the connection and releases the memory of its response."""
        if self._memory is not None:
            self._memory.release()
        self._stream.close()
