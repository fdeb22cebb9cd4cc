"""Detects clients that disconnect while their request is served."""

from collections.abc import Iterator
import contextlib
import select

import trio

from sassafras_wire.http import sockets

# The work for a request must end within half a second of the client's
# disconnect; a call passes through two nodes, each with this interval.
_POLL_INTERVAL_S = 0.1


class DisconnectMonitor:
    """Cancels the work for clients that have closed their connections.

    One system call polls all connections. A task for each connection that
    reads while a request is served would be woken by every read.
    """

    def __init__(self) -> None:
        self._poll = select.poll()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._has_streams = trio.Event()

    async def run(self) -> None:
        """Polls the watched connections until cancelled."""
        while True:
            await self._has_streams.wait()
            await trio.sleep(_POLL_INTERVAL_S)
            self._cancel_disconnected()
            if not self._scopes:
                self._has_streams = trio.Event()

    @contextlib.contextmanager
    def watch(self, stream: sockets.SocketStream) -> Iterator[trio.CancelScope]:
        """Cancels the body of the context when the client disconnects.

        The caller may give the scope a deadline, which saves a second scope.
        """
        descriptor = stream.fileno()
        with trio.CancelScope() as scope:
            self._scopes[descriptor] = scope
            self._poll.register(descriptor, select.POLLRDHUP)
            self._has_streams.set()
            try:
                yield scope
            finally:
                del self._scopes[descriptor]
                self._poll.unregister(descriptor)

    def _cancel_disconnected(self) -> None:
        for descriptor, _ in self._poll.poll(0):
            self._scopes[descriptor].cancel()
