"""Listeners whose sessions survive a failure of the accept loop."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafras_base import events
from sassafras_wire.http import client as http_client
from sassafras_wire.http import sockets

Serve = Callable[[sockets.SocketStream, str], Awaitable[None]]


@events.declare(101, "WARNING")
def session_failed(listener: str, peer: str, error: str) -> str:
    """A connection ended with an unexpected error; others are not affected.

    Please report it with the log lines around it.
    """
    return f"{listener} connection from {peer} failed: {error}"


class Listener:
    """A bound socket, its accept loop and its sessions.

    The socket stays bound while the accept loop restarts, and sessions run in
    a nursery of their own, so a failure of the accept loop neither refuses
    connections nor ends sessions.
    """

    def __init__(self, name: str, address: str, serve: Serve) -> None:
        self.name = name
        self._address = address
        self._serve = serve
        self._listener: sockets.Listener | None = None
        self._nursery: trio.Nursery | None = None
        self._closed = False

    def bind(self) -> None:
        """Binds the address.

        Raises:
          OSError: The address cannot be bound.
        """
        host, port = http_client.split_address(self._address)
        self._listener = sockets.Listener.bind(host, port)

    async def run_sessions(self) -> None:
        """Holds the nursery of the sessions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def accept(self) -> None:
        """Accepts connections until cancelled; idle after `close`."""
        assert self._listener is not None
        while not self._closed:
            try:
                connections = await self._listener.accept()
            except trio.ClosedResourceError:
                break
            for stream, peer in connections:
                if self._nursery is None:
                    stream.close()
                else:
                    self._nursery.start_soon(self._run_session, stream, peer)
        await trio.sleep_forever()

    def close(self) -> None:
        """Closes the socket; running sessions continue."""
        self._closed = True
        if self._listener is not None:
            self._listener.close()

    async def _run_session(
        self, stream: sockets.SocketStream, peer: str
    ) -> None:
        try:
            await self._serve(stream, peer)
        except Exception as error:
            session_failed(self.name, peer, repr(error))
        finally:
            stream.close()
