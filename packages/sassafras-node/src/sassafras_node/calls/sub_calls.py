"""Serves sub-calls; those that a target repeats need permission to retry."""

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import dispatch
from sassafras_node.calls import shedding
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.retries import failures
from sassafras_policy.retries import policies
from sassafras_policy.retries import repeats


async def serve_sub_call(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    execution: contexts.Execution,
) -> messages.CallResponse:
    """Dispatches a sub-call; a repeat of a failed one counts as a retry."""
    tracker = execution.repeats
    sub_call = repeats.fingerprint(request.method, request.path, request.body)
    if tracker.is_repeat(sub_call):
        attempt = policies.Attempt(failures.Failure.REPEATED)
        if not runtime.retry_policy.may_retry(attempt) or not (
            await dispatch.take_retry(runtime, call)
        ):
            return messages.refusal(
                outcomes.Reason.RETRIES_EXHAUSTED,
                503,
                "no retry is left for this request; answer your caller",
                retry_after_ms=messages.RETRY_AFTER_MS,
            )
    else:
        runtime.retry_guard.count_first_attempt(runtime.clock.now())
    # A target that gives up and closes its connection cancels this task; the
    # same sub-call sent again is then a repeat as well.
    succeeded = False
    try:
        response = await shedding.serve(
            runtime, request, call, execution.call.sub_call_tracker
        )
        succeeded = (
            response.outcome is outcomes.Outcome.RAN and response.status < 500
        )
    finally:
        if succeeded:
            tracker.succeeded(sub_call)
        else:
            tracker.failed(sub_call)
    return response
