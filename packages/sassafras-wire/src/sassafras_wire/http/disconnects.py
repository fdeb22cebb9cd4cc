"""Detects clients that disconnect while their request is served."""

import select
import types
from typing import Self

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
        # Spares most requests the call that sets the event.
        self._is_polling = False

    async def run(self) -> None:
        """Polls the watched connections until cancelled."""
        while True:
            await self._has_streams.wait()
            await trio.sleep(_POLL_INTERVAL_S)
            self._cancel_disconnected()
            if not self._scopes:
                self._has_streams = trio.Event()
                self._is_polling = False

    def watch(self, stream: sockets.SocketStream) -> "Watch":
        """Returns a context for the session of a connection."""
        return Watch(self, stream.fileno())

    def add(self, descriptor: int, scope: trio.CancelScope) -> None:
        """Cancels a scope when the client of a connection disconnects."""
        self._scopes[descriptor] = scope
        self._poll.register(descriptor, select.POLLRDHUP)
        if not self._is_polling:
            self._is_polling = True
            self._has_streams.set()

    def remove(self, descriptor: int) -> None:
        """Stops watching a connection."""
        del self._scopes[descriptor]
        self._poll.unregister(descriptor)

    def _cancel_disconnected(self) -> None:
        for descriptor, _ in self._poll.poll(0):
            self._scopes[descriptor].cancel()


class Watch:
    """Ends a session when its client disconnects during a request.

    The context spans the session, so that its requests share one scope.
    """

    def __init__(self, monitor: DisconnectMonitor, descriptor: int) -> None:
        self._monitor = monitor
        self._descriptor = descriptor
        self._scope = trio.CancelScope()
        self._is_active = False

    def __enter__(self) -> Self:
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        self.stop()
        return self._scope.__exit__(kind, error, traceback)

    def start(self) -> None:
        """Watches the client from now on."""
        self._monitor.add(self._descriptor, self._scope)
        self._is_active = True

    def stop(self) -> None:
        """Stops watching; a session that waits for a request reads itself."""
        if self._is_active:
            self._is_active = False
            self._monitor.remove(self._descriptor)
