"""Serves the calls that another node sends on one connection."""

from sassafras_base import errors
from sassafras_base import events
from sassafras_node import slow_sends
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import local
from sassafras_policy.admission import memory as memories
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import disconnects
from sassafras_wire.http import sockets
from sassafras_wire.mesh import call_connection
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import frames


@events.declare(830, "INFO")
def call_ended(
    request_id: str,
    peer: str,
    target_id: str,
    outcome: str,
    reason: str,
    remaining_ms: int,
    load: float,
    rank: int,
    admission_level: int,
) -> str:
    """A call of another node ended without a response of the target.

    `remaining_ms` is the time that was left to its deadline on arrival. A
    request of a caller is not queued unless its `rank` is below
    `admission_level`; 0 means that the call was refused before that check.
    """
    return f"call {request_id} of {peer} ended {outcome} {reason}"


@events.declare(834, "WARNING")
def call_unreadable(peer: str, error: str) -> str:
    """Another node sent an invalid call; its connection was closed."""
    return f"invalid call from {peer}: {error}"


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves calls until the other node disconnects."""
    connection = frames.FrameStream(
        stream, peer, call_connection.MAX_MESSAGE_BYTES
    )
    memory = runtime.response_budget.open()
    slow_sends.SlowSends(
        stream,
        runtime.connections.calls,
        runtime.idle_deadlines,
        lambda: call_connection.IDLE_TIMEOUT_S,
        memory,
    )
    try:
        with runtime.disconnects.watch(stream) as watch:
            while await _serve_next(runtime, stream, connection, watch, memory):
                pass
    except (errors.ConnectionLostError, errors.UnreachableError):
        # The other node has closed it, so its calls have ended there.
        return
    except errors.ProtocolError as error:
        call_unreadable(peer, str(error))
    finally:
        runtime.idle_deadlines.clear(stream)


async def _serve_next(
    runtime: runtimes.Runtime,
    stream: sockets.SocketStream,
    connection: frames.FrameStream,
    watch: disconnects.Watch,
    memory: memories.Reservation,
) -> bool:
    """Serves one call; returns False when no other call may follow."""
    runtime.idle_deadlines.set(
        stream, runtime.clock.now() + call_connection.IDLE_TIMEOUT_S
    )
    group = runtime.connections.calls
    group.wait(stream)
    length = await connection.receive_length()
    if length is None:
        return False
    if not runtime.body_budget.reserve(length):
        if not await connection.discard(length):
            return False
        return await _send_response(runtime, connection, _out_of_memory())
    # Most calls have arrived whole.
    slow: _SlowCall | None = None
    if not connection.has_content(length):
        slow = _SlowCall(runtime, stream, length)
    runtime.drain.enter()
    try:
        content = await connection.receive_content(length)
        if content is None:
            return False
        message = call_messages.decode_call(content, connection.peer)
        if slow is not None:
            slow.end_wait()
        runtime.idle_deadlines.clear(stream)
        group.proceed(stream)
        # A full node reads a call long after it has arrived.
        if stream.is_disconnected():
            return False
        watch.start()
        response = await _handle(runtime, message, connection.peer, memory)
        watch.stop()
        return await _send_response(runtime, connection, response)
    finally:
        memory.release()
        if slow is not None:
            length = slow.end_wait()
        runtime.body_budget.release(length)
        runtime.drain.leave()


class _SlowCall:
    """A call that has not arrived whole; it gives way to other requests."""

    def __init__(
        self,
        runtime: runtimes.Runtime,
        stream: sockets.SocketStream,
        length: int,
    ) -> None:
        self._budget = runtime.body_budget
        self._stream = stream
        self._held = length
        self._budget.stalled.add(stream, self._abandon)

    def end_wait(self) -> int:
        """Ends the wait for the call; returns the bytes that it still holds."""
        self._budget.stalled.remove(self._stream)
        return self._held

    def _abandon(self) -> None:
        """Closes the connection and releases the memory for the call."""
        self._budget.release(self._held)
        self._held = 0
        self._stream.close()


async def _send_response(
    runtime: runtimes.Runtime,
    connection: frames.FrameStream,
    response: messages.CallResponse,
) -> bool:
    """Sends a response; returns whether another call may follow."""
    is_last = runtime.drain.requested.is_set()
    is_outdated = response.reason is outcomes.Reason.LEAVING
    await connection.send(
        call_messages.encode_answer(
            response, is_last, runtime.entry if is_outdated else None
        ),
        progresses.Progress(),
    )
    return not is_last


def _out_of_memory() -> messages.CallResponse:
    return messages.refusal(
        outcomes.Reason.MEMORY,
        503,
        "this node holds as many bytes of bodies as it may; come back",
    )


async def _handle(
    runtime: runtimes.Runtime,
    message: call_messages.Call,
    peer: str,
    memory: memories.Reservation,
) -> messages.CallResponse:
    now = runtime.clock.now()
    received = call_messages.to_call(message, now, runtime.drain.ends_at)
    call = received.call
    runtime.processor.record_call(call.context.rank)
    response = await local.serve(
        runtime,
        call,
        received.target_id,
        progresses.Progress(memory=memory),
    )
    runtime.measurements.count_end("calls", response)
    if response.outcome is not outcomes.Outcome.RAN:
        call_ended(
            call.request_id,
            peer,
            received.target_id,
            str(response.outcome),
            str(response.reason),
            int((call.context.deadline - now) * 1000),
            round(response.load, 2),
            call.context.rank,
            response.levels[0][1] if response.levels else 0,
        )
    return response
