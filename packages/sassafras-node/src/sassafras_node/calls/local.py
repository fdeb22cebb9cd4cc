"""Serves a call at the local target."""

import dataclasses
import functools

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import deadlines
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import levels
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import fields


async def serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    """Admits a call, sends it to the target and returns the whole response."""
    target = runtime.target
    remaining_s = call.context.deadline - runtime.clock.now()
    if remaining_s <= 0.0:
        return _deadline_passed()
    if not target.is_serving or runtime.drain.is_draining:
        return messages.refusal(
            outcomes.Reason.LEAVING,
            503,
            "the target takes no calls",
            retry_after_ms=messages.RETRY_AFTER_MS,
            retryable=True,
        )
    # The call releases its slot at the gate that admitted it, even if a new
    # target has announced itself meanwhile.
    gate = target.gate
    admission = await gate.enter(call.context)
    if admission is gates.AdmissionResult.LATE:
        response = _deadline_passed()
    elif admission is gates.AdmissionResult.REFUSED:
        response = messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            f"the target of service {request.service} has no room",
            retry_after_ms=levels.retry_after_ms(call.context.rank, gate.level),
        )
    else:
        # Closes the target connection at the deadline, so that the response
        # still carries the levels of the services called.
        response = await deadlines.serve_within_deadline(
            runtime,
            call,
            functools.partial(_exchange, runtime, request, call, gate),
        )
    service_levels = {
        **call.sub_call_tracker.levels,
        request.service: gate.level,
    }
    response = dataclasses.replace(
        response, levels=tuple(service_levels.items()), load=gate.load
    )
    runtime.target_tracker.record_response(runtime.table.own_id, response)
    return response


async def _exchange(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    gate: gates.AdmissionGate,
) -> messages.CallResponse:
    started = runtime.clock.now()
    call.sub_call_tracker.record_gate(gate)
    token = runtime.contexts.open(call)
    status = 0
    try:
        response = await runtime.target.pool.exchange(
            _target_request(runtime, request, call, token), call.progress
        )
        status = response.status
    except errors.UnreachableError as error:
        return messages.refusal(
            outcomes.Reason.UNREACHABLE,
            503,
            str(error),
            retry_after_ms=messages.RETRY_AFTER_MS,
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
        call.sub_call_tracker.leave(started, status, runtime.clock.now())
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN,
        status=response.status,
        headers=fields.for_caller(response.headers),
        body=response.body,
        sub_call_failed=call.sub_call_tracker.has_failure,
    )


def _deadline_passed() -> messages.CallResponse:
    return messages.refusal(
        outcomes.Reason.DEADLINE, 504, "the deadline has passed"
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
