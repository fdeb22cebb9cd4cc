"""Serves HTTP connections of callers, targets and operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_node import drain as drains
from sassafras_node import slow_sends
from sassafras_policy.admission import connections
from sassafras_policy.admission import memory as memories
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import deadlines
from sassafras_wire.http import disconnects
from sassafras_wire.http import server as http_server
from sassafras_wire.http import sockets

Handler = Callable[[messages.Request], Awaitable[messages.CallResponse]]
_REASONS = {
    413: outcomes.Reason.BODY_TOO_LARGE,
    503: outcomes.Reason.MEMORY,
}


@events.declare(104, "INFO")
def request_refused(peer: str, status: int, reason: str) -> str:
    """A request that breaks HTTP/1.1 or a limit was refused; it has not run.

    Its connection is closed.
    """
    return f"request from {peer} refused with {status}: {reason}"


class SessionRuntime(Protocol):
    """Parts of the node that a session uses."""

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        ...

    @property
    def http_limits(self) -> http_server.ServerLimits:
        """Bounds on requests."""
        ...

    @property
    def body_budget(self) -> http_server.BodyBudget:
        """Bytes of request bodies held by all connections."""
        ...

    @property
    def disconnects(self) -> disconnects.DisconnectMonitor:
        """Detects clients that disconnect while they are served."""
        ...

    @property
    def idle_deadlines(self) -> deadlines.DeadlineMonitor:
        """Closes connections that are idle for too long."""
        ...

    @property
    def drain(self) -> drains.Drain:
        """Work in flight and planned stop."""
        ...


RefusalFormatter = Callable[
    [http_server.RequestRefusedError], messages.CallResponse
]


def refusal_as_text(
    error: http_server.RequestRefusedError,
) -> messages.CallResponse:
    """Returns the response to a request that violates HTTP/1.1 or a limit."""
    reason = _REASONS.get(error.status, outcomes.Reason.BAD_REQUEST)
    return messages.refusal(
        reason,
        error.status,
        error.problem,
        retry_after_ms=messages.RETRY_AFTER_MS if error.status == 503 else 0,
    )


async def serve(
    runtime: SessionRuntime,
    stream: sockets.SocketStream,
    peer: str,
    handler: Handler,
    refusal_formatter: RefusalFormatter = refusal_as_text,
    format_headers: http_server.HeaderFormatter = http_server.standard_headers,
    memory: memories.Reservation | None = None,
    group: connections.ConnectionGroup | None = None,
) -> None:
    """Serves the requests of a connection, one after another.

    A request counts as in flight from its first byte on, so that a planned
    stop waits for a request that is still arriving.

    Args:
      runtime: The node.
      stream: The connection.
      peer: Address of the client.
      handler: Returns the response to a request.
      refusal_formatter: Formats the response to an invalid request.
      format_headers: Formats the header fields of responses.
      memory: What the handler reserves for a response; released when the
        response has been sent.
      group: The connections that this one gives way to while it waits for its
        client; None for no others.
    """
    if group is None:
        group = connections.unlimited()
    slow_sends.SlowSends(
        stream,
        group,
        runtime.idle_deadlines,
        lambda: runtime.http_limits.idle_timeout_s,
        memory,
    )
    refusal: messages.CallResponse | None = None
    connection = http_server.ServerConnection(
        stream, peer, runtime.http_limits, runtime.body_budget, format_headers
    )
    try:
        with runtime.disconnects.watch(stream) as watch:
            while await _serve_next(
                runtime, stream, connection, handler, watch, group
            ):
                if memory is not None:
                    memory.release()
        if runtime.drain.is_draining:
            await stream.close_gracefully()
    except http_server.RequestRefusedError as error:
        # The traceback of the error holds all that has arrived.
        refusal = refusal_formatter(error)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The other side has disconnected.
        return
    finally:
        runtime.idle_deadlines.clear(stream)
        if memory is not None:
            memory.release()
    if refusal is not None:
        request_refused(peer, refusal.status, str(refusal.reason))
        group.on_refused()
        await _refuse(connection, refusal)
        del connection
        group.wait(stream)
        await stream.close_gracefully()


async def _serve_next(
    runtime: SessionRuntime,
    stream: sockets.SocketStream,
    connection: http_server.ServerConnection,
    handler: Handler,
    watch: disconnects.Watch,
    group: connections.ConnectionGroup,
) -> bool:
    """Serves one request; returns False when the connection has ended."""
    runtime.idle_deadlines.set(
        stream, runtime.clock.now() + runtime.http_limits.idle_timeout_s
    )
    group.wait(stream)
    if not await connection.await_request():
        return False
    runtime.idle_deadlines.clear(stream)
    runtime.drain.enter()
    try:
        request = await connection.receive()
        if request is None:
            return False
        group.proceed(stream)
        # A full node reads a request long after it has arrived.
        if stream.is_disconnected():
            return False
        watch.start()
        response = await handler(request)
        watch.stop()
        await connection.send(response, close=runtime.drain.requested.is_set())
        return True
    finally:
        connection.release_body()
        runtime.drain.leave()


async def _refuse(
    connection: http_server.ServerConnection, response: messages.CallResponse
) -> None:
    try:
        await connection.send(response)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
