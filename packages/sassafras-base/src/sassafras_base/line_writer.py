"""Buffered log output that never blocks on a slow reader."""

from collections.abc import Callable
import os
import select
import time

import trio

# Lines are batched over this interval; each write costs a system call.
_FLUSH_INTERVAL_S = 0.2
# Token bucket that limits the lines. A node that serves 300 requests per second
# stays below the rate.
_LINES_PER_S = 500.0
_BURST_LINES = 1000.0
# New lines are dropped while more than this is waiting to be written.
_BUFFER_BYTES = 512 * 1024


class LineWriter:
    """Buffers lines and writes them to a descriptor when it is writable.

    Attributes:
      dropped: Lines dropped since the last one that was added.
    """

    def __init__(
        self, descriptor: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        """Creates a writer.

        Args:
          descriptor: Open file descriptor that receives the lines.
          now: Source of time in seconds.
        """
        self.dropped = 0
        self._now = now
        self._descriptor = descriptor
        self._pending = bytearray()
        self._has_pending = trio.Event()
        self._tokens = _BURST_LINES
        self._refilled_at = now()

    def try_reserve(self) -> bool:
        """Returns whether a line may be written now, or counts it as dropped.

        Called before a line is formatted, which is most of its cost.
        """
        now = self._now()
        self._tokens = min(
            _BURST_LINES,
            self._tokens + (now - self._refilled_at) * _LINES_PER_S,
        )
        self._refilled_at = now
        if self._tokens < 1.0 or len(self._pending) > _BUFFER_BYTES:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, line: str) -> None:
        """Adds an admitted line."""
        if not self._pending:
            self._has_pending.set()
        if self.dropped:
            self._pending += b'{"dropped_lines": %d}\n' % self.dropped
            self.dropped = 0
        self._pending += line.encode()
        self._pending += b"\n"

    async def run(self) -> None:
        """Flushes at a fixed interval while lines wait, until cancelled."""
        while True:
            await self._has_pending.wait()
            await trio.sleep(_FLUSH_INTERVAL_S)
            self.flush()
            if not self._pending:
                self._has_pending = trio.Event()

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        while self._pending:
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            # A writable pipe accepts at least PIPE_BUF bytes.
            written = os.write(
                self._descriptor, self._pending[: select.PIPE_BUF]
            )
            del self._pending[:written]
