"""Writes log lines without ever waiting for their reader."""

from collections.abc import Callable
import os
import select
import time

import trio

# Lines are written together this often; each write costs a system call.
_FLUSH_INTERVAL_S = 0.2
# At most this many lines a second, over a second or two; a node that answers
# 300 requests a second stays below it.
_LINES_PER_S = 500.0
_BURST_LINES = 1000.0
# Lines that no reader takes are dropped above this.
_BUFFER_BYTES = 512 * 1024


class LineWriter:
    """Collects lines and hands them to a descriptor when it takes them.

    Attributes:
      dropped: Lines left out since the last that was written.
    """

    def __init__(
        self, descriptor: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        """Makes a writer.

        Args:
          descriptor: Where the lines go.
          now: Source of time in seconds.
        """
        self.dropped = 0
        self._now = now
        self._descriptor = descriptor
        self._pending = bytearray()
        self._allowed = _BURST_LINES
        self._refilled_at = now()

    def admits(self) -> bool:
        """Returns whether a line may be written now, or counts it as dropped.

        Asked before a line is built, as most of a line's cost is there.
        """
        now = self._now()
        self._allowed = min(
            _BURST_LINES,
            self._allowed + (now - self._refilled_at) * _LINES_PER_S,
        )
        self._refilled_at = now
        if self._allowed < 1.0 or len(self._pending) > _BUFFER_BYTES:
            self.dropped += 1
            return False
        self._allowed -= 1.0
        return True

    def write(self, line: str) -> None:
        """Adds a line that was admitted."""
        if self.dropped:
            self._pending += b'{"dropped_lines": %d}\n' % self.dropped
            self.dropped = 0
        self._pending += line.encode()
        self._pending += b"\n"

    async def run(self) -> None:
        """Writes what has been collected, until cancelled."""
        while True:
            await trio.sleep(_FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Writes as much as the descriptor takes now."""
        while self._pending:
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            # A pipe that is writable takes at least this much at once.
            written = os.write(
                self._descriptor, self._pending[: select.PIPE_BUF]
            )
            del self._pending[:written]
