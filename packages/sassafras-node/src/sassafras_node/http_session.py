"""The life of one HTTP connection, shared by callers, targets, operators."""

from collections.abc import Awaitable
from collections.abc import Callable

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import server as http_server
import trio

from sassafras_node import runtime as runtimes

Handler = Callable[[messages.Request], Awaitable[messages.Answer]]


async def serve(
    runtime: runtimes.Runtime,
    stream: trio.SocketStream,
    peer: str,
    handler: Handler,
) -> None:
    """Answers the requests of a connection, one after another.

    A request counts as in flight from its first byte on, so that a planned
    stop waits for a request that is still arriving.
    """
    connection = http_server.ServerConnection(stream, peer, runtime.http_limits)
    while await connection.await_request():
        runtime.drain.enter()
        try:
            request = await connection.receive()
            if request is None:
                return
            answer = await _handle(connection, request, handler)
            if answer is None:
                return
            await connection.send(answer, close=runtime.drain.is_draining)
        except http_server.RequestRefusedError as error:
            await _refuse(connection, error)
            return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            runtime.drain.leave()


async def _handle(
    connection: http_server.ServerConnection,
    request: messages.Request,
    handler: Handler,
) -> messages.Answer | None:
    """Returns the answer, or None when the other side has gone away."""
    answer: messages.Answer | None = None
    async with trio.open_nursery() as nursery:

        async def cancel_when_gone() -> None:
            await connection.wait_disconnected()
            nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_when_gone)
        answer = await handler(request)
        nursery.cancel_scope.cancel()
    return answer


async def _refuse(
    connection: http_server.ServerConnection,
    error: http_server.RequestRefusedError,
) -> None:
    answer = messages.refusal(
        outcomes.Reason.BAD_REQUEST, error.status, error.problem
    )
    try:
        await connection.send(answer)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
