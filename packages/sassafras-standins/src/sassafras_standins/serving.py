"""The HTTP server that all stand-ins share."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import client as http_client
from sassafras_wire.http import disconnects
from sassafras_wire.http import server as http_server
from sassafras_wire.http import sockets

Handler = Callable[[messages.Request], Awaitable[messages.CallResponse]]


def response(
    body: bytes, status: int = 200, content_type: str = "application/json"
) -> messages.CallResponse:
    """Returns a response that the target produced."""
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN,
        status=status,
        headers=(("content-type", content_type),),
        body=body,
    )


async def listen(
    address: str,
    handler: Handler,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves requests at an address until cancelled."""
    host, port = http_client.split_address(address)
    listener = sockets.Listener.bind(host, port)
    task_status.started()
    watcher = disconnects.DisconnectMonitor()
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            while True:
                for stream, _ in await listener.accept():
                    nursery.start_soon(_serve, stream, handler, watcher)
    finally:
        listener.close()


async def _serve(
    stream: sockets.SocketStream,
    handler: Handler,
    watcher: disconnects.DisconnectMonitor,
) -> None:
    connection = http_server.ServerConnection(
        stream, "client", http_server.ServerLimits(idle_timeout_s=600)
    )
    try:
        with watcher.watch(stream) as watch:
            while await _serve_next(connection, handler, watch):
                pass
    except (
        http_server.RequestRefusedError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
    ):
        pass
    finally:
        stream.close()


async def _serve_next(
    connection: http_server.ServerConnection,
    handler: Handler,
    watch: disconnects.Watch,
) -> bool:
    """Serves one request; cancels the handler if the client disconnects.

    Returns whether the connection stays open.
    """
    if not await connection.await_request():
        return False
    request = await connection.receive()
    if request is None:
        return False
    watch.start()
    response = await handler(request)
    watch.stop()
    await connection.send(response)
    return True
