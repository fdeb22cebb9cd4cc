"""A TCP proxy on loopback whose connections misbehave on demand."""

import enum

import trio

from sassafras_standins.fleet import launcher
from sassafras_wire.http import client

_READ_BYTES = 64 * 1024
_DELAY_S = 0.3


class Mode(enum.StrEnum):
    """What happens to the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    # One direction is lost, as in a partition that is cut one way.
    LOSE_REQUESTS = "lose-requests"
    LOSE_ANSWERS = "lose-answers"
    SILENT = "silent"


class Proxy:
    """Forwards connections to one server.

    Attributes:
      address: Where it listens.
      mode: What happens to bytes now; open connections follow it.
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

    async def _serve(self, near: trio.SocketStream) -> None:
        host, port = client.split_address(self._server)
        try:
            far = await trio.open_tcp_stream(host, port)
        except OSError:
            # The server is down; so is its address.
            return
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, Mode.LOSE_REQUESTS)
            await self._copy(far, near, Mode.LOSE_ANSWERS)
            nursery.cancel_scope.cancel()

    async def _copy(
        self, source: trio.SocketStream, to: trio.SocketStream, lost: Mode
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                if self.mode is Mode.RESET:
                    return
                if self.mode is Mode.DELAY:
                    await trio.sleep(_DELAY_S)
                if self.mode not in (lost, Mode.SILENT):
                    await to.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Either side has gone, which ends the connection for both.
            return
