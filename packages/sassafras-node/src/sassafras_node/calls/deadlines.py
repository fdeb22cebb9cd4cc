"""Ends a call at its deadline with the outcome known by then."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes


async def serve_within_deadline(
    runtime: runtimes.Runtime,
    call: contexts.ActiveCall,
    serve: Callable[[], Awaitable[messages.CallResponse]],
    grace_s: float = 0.0,
) -> messages.CallResponse:
    """Returns the response of `serve`, or a deadline response if it is late.

    Args:
      runtime: The node.
      call: The call; it is not started after its deadline.
      serve: Serves the call.
      grace_s: Time after the deadline in which a peer's response may arrive.
    """
    remaining_s = call.context.deadline - runtime.clock.now()
    if remaining_s > 0:
        with trio.move_on_after(remaining_s + grace_s):
            return await serve()
    if call.progress.may_have_run:
        return messages.unknown(
            outcomes.Reason.DEADLINE, 504, "the deadline passed"
        )
    return messages.refusal(
        outcomes.Reason.DEADLINE,
        504,
        "the deadline passed before the request was handed over",
    )
