"""Notices connections whose other side has gone while a request is served."""

from collections.abc import Iterator
import contextlib
import select

import trio

# The work for a request must end within half a second after its caller has
# left; a call passes through two nodes, each of which looks this often.
_CHECK_INTERVAL_S = 0.1


class HangupWatcher:
    """Cancels the work for callers that have closed their connections.

    One system call looks at all connections. A task for each connection that
    reads while a request is served would be woken by every read.
    """

    def __init__(self) -> None:
        self._poll = select.poll()
        self._scopes: dict[int, trio.CancelScope] = {}
        self._awaited = trio.Event()

    async def run(self) -> None:
        """Looks at the watched connections until cancelled."""
        while True:
            await self._awaited.wait()
            await trio.sleep(_CHECK_INTERVAL_S)
            self._check()
            if not self._scopes:
                self._awaited = trio.Event()

    @contextlib.contextmanager
    def watch(self, stream: trio.SocketStream) -> Iterator[None]:
        """Cancels what runs inside once the other side has gone."""
        descriptor = stream.socket.fileno()
        with trio.CancelScope() as scope:
            self._scopes[descriptor] = scope
            self._poll.register(descriptor, select.POLLRDHUP)
            self._awaited.set()
            try:
                yield
            finally:
                del self._scopes[descriptor]
                self._poll.unregister(descriptor)

    def _check(self) -> None:
        for descriptor, _ in self._poll.poll(0):
            self._scopes[descriptor].cancel()
