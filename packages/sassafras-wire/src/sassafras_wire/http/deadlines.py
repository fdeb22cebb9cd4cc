"""Closes connections whose wait has lasted too long."""

import math

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
          interval_s: Shortest time between two checks, by which a timeout may
            be late.
        """
        self._interval_s = interval_s
        self._deadlines: dict[sockets.SocketStream, float] = {}
        self._has_deadlines = trio.Event()
        # Time of the next check. While there is none, the first deadline
        # requests one; later deadlines spare their exchange that call.
        self._check_at = math.inf
        self._pause = trio.CancelScope()
        self._has_ended = False

    async def run(self) -> None:
        """Checks the deadlines until cancelled."""
        while True:
            await self._has_deadlines.wait()
            earliest = min(self._deadlines.values(), default=0.0)
            self._check_at = self._check_time(earliest)
            with trio.CancelScope(deadline=self._check_at) as self._pause:
                await trio.sleep_forever()
            self._close_overdue()
            if not self._deadlines:
                self._has_deadlines = trio.Event()
                self._check_at = math.inf

    def set(self, stream: sockets.SocketStream, deadline: float) -> None:
        """Closes a connection at a time on trio's clock, unless cleared."""
        if self._has_ended:
            stream.close()
            return
        self._deadlines[stream] = deadline
        if deadline < self._check_at:
            self._check_sooner(deadline)

    def clear(self, stream: sockets.SocketStream) -> None:
        """Removes the deadline of a connection."""
        self._deadlines.pop(stream, None)

    def end_all(self) -> None:
        """Closes all connections with a deadline, and further ones at once."""
        self._has_ended = True
        while self._deadlines:
            stream, _ = self._deadlines.popitem()
            stream.close()

    def _check_sooner(self, deadline: float) -> None:
        check_at = self._check_time(deadline)
        if check_at < self._check_at:
            self._check_at = check_at
            self._pause.deadline = check_at
        self._has_deadlines.set()

    def _check_time(self, deadline: float) -> float:
        """Returns when a deadline is checked if no other one is earlier."""
        return max(deadline, trio.current_time() + self._interval_s)

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
