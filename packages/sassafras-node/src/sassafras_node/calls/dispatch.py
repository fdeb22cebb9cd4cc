"""Chooses a target for a call and retries at other targets."""

from collections.abc import Sequence
import dataclasses
import functools

import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import deadlines
from sassafras_node.calls import idempotent
from sassafras_node.calls import local
from sassafras_policy.balancing import subsets
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.membership import records
from sassafras_policy.retries import failures
from sassafras_policy.retries import policies
from sassafras_wire.http import fields
from sassafras_wire.peer import converters
from sassafras_wire.peer import models

# A peer ends a call this long before its sender does. The peer can tell whether
# the call may have run, so its response should arrive before the deadline.
_PEER_MARGIN_S = 0.01

# A busy host can use up that margin. Waiting a little longer for the peer
# delays only responses that are late anyway.
_PEER_GRACE_S = 0.05


async def dispatch(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    """Sends a call to a target of its service, within its deadline."""
    send = _attempt_and_retry
    if call.idempotency_scope:
        send = _send_to_home
    response = await deadlines.serve_within_deadline(
        runtime,
        call,
        functools.partial(send, runtime, request, call),
        _PEER_GRACE_S,
    )
    if (
        response.outcome is outcomes.Outcome.NOT_RUN
        and call.progress.may_have_run
    ):
        # The last attempt did not run, but an earlier one may have.
        return messages.unknown(
            response.reason, 502, "an earlier attempt may have run"
        )
    return response


async def take_retry(
    runtime: runtimes.Runtime, call: contexts.ActiveCall
) -> bool:
    """Returns whether a retry may be made, and counts it."""
    if not runtime.retry_policy.needs_permission:
        return True
    if not runtime.retry_guard.take(runtime.clock.now()):
        return False
    if await call.authority.request_retry():
        return True
    runtime.retry_guard.refund(runtime.clock.now())
    return False


async def _send_to_home(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    """Sends a call to the home node of its key, and nowhere else."""
    home = runtime.homes.home_of(request.service, call.idempotency_scope)
    if home == runtime.table.own_id:
        return await idempotent.serve(runtime, request, call)
    record = runtime.table.get(home) if home else None
    if record is None:
        return idempotent.home_unavailable("the key's home is not known")
    response = await _call_peer(runtime, request, call, record)
    if response.outcome is not outcomes.Outcome.NOT_RUN:
        return response
    if not call.progress.may_have_run:
        # This request did not run, but an earlier one with the key may have.
        return idempotent.home_unavailable("the key's home is not reachable")
    call.progress.may_have_run = False
    return response


async def _attempt_and_retry(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    tried: set[str] = set()
    attempt = policies.Attempt(failures.Failure.FINAL)
    while True:
        might_have_run = call.progress.may_have_run
        response = await _attempt(runtime, request, call, tried)
        if response.outcome is outcomes.Outcome.NOT_RUN:
            call.progress.may_have_run = might_have_run
        attempt = _failed_attempt(
            attempt,
            failures.classify(response, call.context.at_most_once),
            _has_untried(runtime, request.service, tried),
        )
        if attempt.failure is failures.Failure.FINAL:
            return response
        if not runtime.retry_policy.may_retry(attempt):
            return response
        wait_s = 0.0
        if not attempt.has_untried_target:
            wait_s = runtime.backoff.wait_s(attempt.retries)
        if runtime.clock.now() + wait_s >= call.context.deadline:
            return response
        if not await take_retry(runtime, call):
            return response
        if not attempt.has_untried_target:
            await trio.sleep(wait_s)
            tried.clear()
        attempt = dataclasses.replace(attempt, retries=attempt.retries + 1)


def _failed_attempt(
    previous: policies.Attempt,
    failure: failures.Failure,
    has_untried_target: bool,
) -> policies.Attempt:
    refused = failure is failures.Failure.OVERLOADED
    return policies.Attempt(
        failure=failure,
        retries=previous.retries,
        overload_refusals=previous.overload_refusals + int(refused),
        has_untried_target=has_untried_target,
    )


def _has_untried(
    runtime: runtimes.Runtime, service: str, tried: set[str]
) -> bool:
    return any(
        record.node_id not in tried
        for record in _callable_targets(runtime, service)
    )


def _callable_targets(
    runtime: runtimes.Runtime, service: str
) -> Sequence[records.NodeRecord]:
    """Returns the subset of a service's targets that this node calls."""
    return subsets.choose(runtime.table.own_id, runtime.table.serving(service))


async def _attempt(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    tried: set[str],
) -> messages.CallResponse:
    record = _choose(runtime, request.service, tried)
    if record is None:
        return messages.refusal(
            outcomes.Reason.NO_TARGET,
            503,
            f"no target of service {request.service} takes calls",
            retry_after_ms=messages.RETRY_AFTER_MS,
        )
    tried.add(record.node_id)
    if record.node_id == runtime.table.own_id:
        return await local.serve(runtime, request, call)
    return await _call_peer(runtime, request, call, record)


def _choose(
    runtime: runtimes.Runtime, service: str, tried: set[str]
) -> records.NodeRecord | None:
    serving = [
        record
        for record in _callable_targets(runtime, service)
        if record.node_id not in tried
    ]
    own = runtime.table.own
    tracker = runtime.target_tracker
    if (
        own in serving
        and runtime.target.has_free_slot
        and not tracker.is_ejected(own.node_id)
    ):
        return own
    candidates = [tracker.candidate(record, own) for record in serving]
    choice = runtime.balancer.choose(candidates)
    return runtime.table.get(choice.node_id) if choice else None


async def _call_peer(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    record: records.NodeRecord,
) -> messages.CallResponse:
    context = call.context
    remaining_s = max(0.0, context.deadline - runtime.clock.now())
    remaining_s -= min(_PEER_MARGIN_S, remaining_s / 4)
    message = models.Call(
        call_id=0,
        root_id=context.root_id,
        organisation=context.organisation,
        priority=context.priority,
        bucket=context.bucket,
        deadline_ms=int(remaining_s * 1000),
        depth=context.depth,
        at_most_once=context.at_most_once,
        idempotency_key=call.idempotency_scope,
        method=request.method,
        path=request.path,
        headers=list(fields.for_target(request.headers)),
        body=request.body,
    )
    tracked = runtime.target_tracker.started(record.node_id)
    try:
        reply = await runtime.peer_pools.call(record.node_id, message, call)
        response = converters.message_to_response(reply)
    except (errors.UnreachableError, errors.AuthenticationError) as error:
        runtime.target_tracker.record_failure(record.node_id)
        return messages.refusal(
            outcomes.Reason.UNREACHABLE,
            503,
            str(error),
            retry_after_ms=messages.RETRY_AFTER_MS,
            retryable=True,
        )
    except (
        errors.ConnectionLostError,
        errors.ProtocolError,
        ValueError,
    ) as error:
        runtime.target_tracker.record_failure(record.node_id)
        return messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, str(error), retryable=True
        )
    finally:
        runtime.target_tracker.finished(tracked)
    runtime.target_tracker.record_response(record.node_id, response)
    return response
