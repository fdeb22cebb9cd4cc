"""Listeners whose sessions survive a failure of the accept loop."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafras_base import events
from sassafras_policy.admission import connections
from sassafras_wire.http import client as http_client
from sassafras_wire.http import sockets

Serve = Callable[[sockets.SocketStream, str], Awaitable[None]]
Refuse = Callable[[], bytes]

# Each refused connection keeps a socket for up to a second.
_MAX_REFUSALS = 8
# Before the process asks again whether it may accept connections.
_RESOURCE_RETRY_S = 0.1


@events.declare(101, "WARNING")
def session_failed(listener: str, peer: str, error: str) -> str:
    """A connection ended with an unexpected error; others are not affected.

    Please report it with the log lines around it.
    """
    return f"{listener} connection from {peer} failed: {error}"


@events.declare(102, "WARNING")
def connection_refused(listener: str, peer: str, open_connections: int) -> str:
    """A connection was refused, as requests run on all that may be open.

    No request that arrives on it has run.
    """
    return f"{listener} connection from {peer} refused: {open_connections} open"


@events.declare(103, "WARNING")
def accepting_paused(listener: str, error: str) -> str:
    """The process has no descriptors or memory for another connection.

    It closes connections that wait for their clients and tries again.
    """
    return f"{listener} cannot accept connections: {error}"


class Listener:
    """A bound socket, its accept loop and its sessions.

    The socket stays bound while the accept loop restarts, and sessions run in
    a nursery of their own, so a failure of the accept loop neither refuses
    connections nor ends sessions.
    """

    def __init__(
        self,
        name: str,
        address: str,
        serve: Serve,
        group: connections.ConnectionGroup | None = None,
        refuse: Refuse = bytes,
    ) -> None:
        """Creates a listener that is not bound yet.

        Args:
          name: Name for errors and logs.
          address: `host:port`.
          serve: Serves a connection until it ends.
          group: Its connections, with their limit; None for no limit.
          refuse: Returns what is sent on a connection that is over the limit.
        """
        self.name = name
        self._group = group or connections.unlimited()
        self._refuse = refuse
        self._refusals = 0
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
                accepted = await self._listener.accept()
            except trio.ClosedResourceError:
                break
            except OSError as error:
                if not sockets.is_out_of_resources(error):
                    raise
                accepting_paused(self.name, repr(error))
                self._group.close_longest_wait()
                await trio.sleep(_RESOURCE_RETRY_S)
                continue
            for stream, peer in accepted:
                self._start_session(stream, peer)
        await trio.sleep_forever()

    def _start_session(self, stream: sockets.SocketStream, peer: str) -> None:
        if self._nursery is None:
            stream.close()
        elif self._group.admit(stream):
            self._nursery.start_soon(self._run_session, stream, peer)
        else:
            connection_refused(self.name, peer, self._group.count)
            self._group.on_refused()
            if self._refusals >= _MAX_REFUSALS:
                stream.close()
            else:
                self._refusals += 1
                self._nursery.start_soon(self._turn_away, stream)

    async def _turn_away(self, stream: sockets.SocketStream) -> None:
        """Tells a client that nothing runs on its connection, and closes it."""
        try:
            stream.send_now(self._refuse())
            await stream.close_gracefully()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has left.
            return
        finally:
            self._refusals -= 1
            stream.close()

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
            # The observer refers to the stream, and would keep its memory
            # until the next garbage collection.
            stream.send_observer = None
            self._group.remove(stream)
