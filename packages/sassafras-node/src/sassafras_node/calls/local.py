"""Serves a call at the target beside the node."""

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import fields

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts

_RETRY_AFTER_MS = 1000


async def serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.Answer:
    """Admits a call, hands it to the target and returns the whole answer."""
    target = runtime.target
    now = runtime.clock.now()
    if call.context.deadline <= now:
        return messages.refusal(
            outcomes.Reason.DEADLINE, 504, "the deadline has passed"
        )
    if not target.is_serving or runtime.drain.is_draining:
        return messages.refusal(
            outcomes.Reason.LEAVING,
            503,
            "the target takes no calls",
            retry_after_ms=_RETRY_AFTER_MS,
            retryable=True,
        )
    decision = target.admission.decide(call.context, now)
    if not decision.admitted:
        return messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            f"the target of service {request.service} has no room",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return await _exchange(runtime, request, call)


async def _exchange(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.Answer:
    target = runtime.target
    admission = target.admission
    started = runtime.clock.now()
    token = runtime.contexts.open(call)
    admission.started(started)
    success = False
    try:
        response = await target.pool.exchange(
            _target_request(runtime, request, call, token), call.progress
        )
        success = response.status < 500
    except errors.UnreachableError as error:
        return messages.refusal(
            outcomes.Reason.UNREACHABLE,
            503,
            str(error),
            retry_after_ms=_RETRY_AFTER_MS,
            retryable=True,
        )
    except errors.ConnectionLostError as error:
        return messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, str(error), retryable=True
        )
    except errors.ProtocolError as error:
        return messages.unknown(
            outcomes.Reason.TARGET_PROTOCOL, 502, str(error), retryable=False
        )
    finally:
        runtime.contexts.close(token)
        now = runtime.clock.now()
        admission.finished(now - started, success, now)
    return messages.Answer(
        outcome=outcomes.Outcome.RAN,
        status=response.status,
        headers=fields.for_caller(response.headers),
        body=response.body,
        load=admission.load,
    )


def _target_request(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    token: str,
) -> messages.Request:
    context = call.context
    remaining_ms = int((context.deadline - runtime.clock.now()) * 1000)
    headers = [
        *fields.for_target(request.headers),
        (fields.CONTEXT, token),
        (fields.DEADLINE_MS, str(max(0, remaining_ms))),
    ]
    if context.organisation:
        headers.append((fields.ORGANISATION, context.organisation))
    return messages.Request(
        method=request.method,
        path=request.path,
        headers=tuple(headers),
        body=request.body,
    )
