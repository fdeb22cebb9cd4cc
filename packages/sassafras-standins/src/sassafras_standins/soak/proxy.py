"""A TCP proxy on loopback that injects network faults."""

import enum

import trio

from sassafras_standins.fleet import launcher
from sassafras_wire.http import client

_READ_BYTES = 64 * 1024
_DELAY_S = 0.3


class Mode(enum.StrEnum):
    """Network fault that the proxy applies to all connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    # One direction is lost, as in an asymmetric partition.
    LOSE_REQUESTS = "lose-requests"
    LOSE_ANSWERS = "lose-answers"
    SILENT = "silent"


class Proxy:
    """Forwards connections to one server.

    Attributes:
      address: Address on which it listens.
      mode: Active fault; it also applies to open connections.
    """

    def __init__(self, server: str) -> None:
        self.address = launcher.free_address()
        self.mode = Mode.PASS
        self._server = server

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        host, port = client.split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, downstream: trio.SocketStream) -> None:
        host, port = client.split_address(self._server)
        try:
            upstream = await trio.open_tcp_stream(host, port)
        except OSError:
            # The server is down, so the proxy drops the connection as well.
            return
        async with upstream, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy, downstream, upstream, Mode.LOSE_REQUESTS
            )
            await self._copy(upstream, downstream, Mode.LOSE_ANSWERS)
            nursery.cancel_scope.cancel()

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        blocked_in: Mode,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                if self.mode is Mode.RESET:
                    return
                if self.mode is Mode.DELAY:
                    await trio.sleep(_DELAY_S)
                if self.mode not in (blocked_in, Mode.SILENT):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has closed, so the proxy closes both.
            return
