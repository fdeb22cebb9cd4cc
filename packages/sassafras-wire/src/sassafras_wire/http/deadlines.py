"""Closes connections whose wait has lasted too long."""

import trio

from sassafras_wire.http import sockets


class DeadlineMonitor:
    """Closes each connection whose deadline passes.

    A connection on which a wait has timed out cannot be used again, so closing
    it is all that a timeout has to do; the task that waits gets the same error
    as after a lost connection. A cancel scope for each wait would take a tenth
    of the processor time of a call.
    """

    def __init__(self, interval_s: float) -> None:
        """Creates a monitor without connections.

        Args:
          interval_s: Time between two checks, by which a timeout may be late.
        """
        self._interval_s = interval_s
        self._deadlines: dict[sockets.SocketStream, float] = {}
        self._has_deadlines = trio.Event()
        # Spares most exchanges the call that sets the event.
        self._is_checking = False
        self._has_ended = False

    async def run(self) -> None:
        """Checks the deadlines until cancelled."""
        while True:
            await self._has_deadlines.wait()
            await trio.sleep(self._interval_s)
            self._close_overdue()
            if not self._deadlines:
                self._has_deadlines = trio.Event()
                self._is_checking = False

    def set(self, stream: sockets.SocketStream, deadline: float) -> None:
        """Closes a connection at a time on trio's clock, unless cleared."""
        if self._has_ended:
            stream.close()
            return
        self._deadlines[stream] = deadline
        if not self._is_checking:
            self._is_checking = True
            self._has_deadlines.set()

    def clear(self, stream: sockets.SocketStream) -> None:
        """Removes the deadline of a connection."""
        self._deadlines.pop(stream, None)

    def end_all(self) -> None:
        """Closes all connections with a deadline, and further ones at once."""
        self._has_ended = True
        while self._deadlines:
            stream, _ = self._deadlines.popitem()
            stream.close()

    def _close_overdue(self) -> None:
        now = trio.current_time()
        overdue = [
            stream
            for stream, deadline in self._deadlines.items()
            if deadline <= now
        ]
        for stream in overdue:
            del self._deadlines[stream]
            stream.close()
