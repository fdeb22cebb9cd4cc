"""The life of one connection on which another node sends calls."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node import http_session
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import local
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.mesh import call_codec


@events.declare(830, "INFO")
def call_ended(
    request_id: str,
    peer: str,
    target_id: str,
    outcome: str,
    reason: str,
    remaining_ms: int,
    load: float,
) -> str:
    """A call of another node ended without an answer of the target.

    `remaining_ms` is the time that was left to its deadline when it came.
    """
    return f"call {request_id} of {peer} ended {outcome} {reason}"


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Serves calls until the other node disconnects."""

    async def handle(request: messages.Request) -> messages.Answer:
        return await _handle(runtime, request, peer)

    await http_session.serve(
        runtime, stream, peer, handle, answer_form=call_codec.answer_form
    )


async def _handle(
    runtime: runtimes.Runtime, request: messages.Request, peer: str
) -> messages.Answer:
    now = runtime.clock.now()
    try:
        received = call_codec.decode_call(request, peer, now)
    except errors.ProtocolError as error:
        return messages.refusal(outcomes.Reason.BAD_REQUEST, 400, str(error))
    call = received.call
    answer = await local.serve_within_deadline(
        runtime, call, received.target_id
    )
    runtime.measurements.count("calls", str(answer.reason or answer.outcome))
    if answer.outcome is not outcomes.Outcome.RAN:
        call_ended(
            call.request_id,
            peer,
            received.target_id,
            str(answer.outcome),
            str(answer.reason),
            int((call.context.deadline - now) * 1000),
            round(answer.load, 2),
        )
    return answer
