"""Choice of a target for a call, and retries at another one."""

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.membership import records
from sassafras_wire.http import fields
from sassafras_wire.peer import converters
from sassafras_wire.peer import models
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import local

_RETRY_AFTER_MS = 1000


async def dispatch(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.Answer:
    """Sends a call to a target of its service, within its deadline."""
    remaining_s = call.context.deadline - runtime.clock.now()
    tried: set[str] = set()
    answer = _deadline_refusal()
    with trio.move_on_after(max(0.0, remaining_s)) as scope:
        while True:
            answer = await _attempt(runtime, request, call, tried)
            if not _may_retry(answer, call, runtime, request, tried):
                break
            if not await call.authority.ask():
                break
    if scope.cancelled_caught:
        return messages.unknown(
            outcomes.Reason.DEADLINE, 504, "the deadline passed"
        )
    return answer


def _may_retry(
    answer: messages.Answer,
    call: contexts.ActiveCall,
    runtime: runtimes.Runtime,
    request: messages.Request,
    tried: set[str],
) -> bool:
    if not answer.retryable:
        return False
    unknown = answer.outcome is outcomes.Outcome.UNKNOWN
    if unknown and call.context.at_most_once:
        return False
    others = runtime.table.serving(request.service)
    return any(record.node_id not in tried for record in others)


async def _attempt(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    tried: set[str],
) -> messages.Answer:
    record = _choose(runtime, request.service, tried)
    if record is None:
        return messages.refusal(
            outcomes.Reason.NO_TARGET,
            503,
            f"no target of service {request.service} takes calls",
            retry_after_ms=_RETRY_AFTER_MS,
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
        for record in runtime.table.serving(service)
        if record.node_id not in tried
    ]
    own = runtime.table.own
    views = runtime.peer_views
    if (
        own in serving
        and runtime.target.has_room
        and not views.is_ejected(own.node_id)
    ):
        return own
    candidates = [views.candidate(record, own) for record in serving]
    choice = runtime.balancer.choose(candidates)
    return runtime.table.get(choice.node_id) if choice else None


async def _call_peer(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    record: records.NodeRecord,
) -> messages.Answer:
    context = call.context
    remaining_s = context.deadline - runtime.clock.now()
    message = models.Call(
        call_id=0,
        root_id=context.root_id,
        organisation=context.organisation,
        priority=context.priority,
        bucket=context.bucket,
        deadline_ms=int(max(0.0, remaining_s) * 1000),
        depth=context.depth,
        at_most_once=context.at_most_once,
        method=request.method,
        path=request.path,
        headers=list(fields.for_target(request.headers)),
        body=request.body,
    )
    runtime.peer_views.started(record.node_id)
    try:
        reply = await runtime.peer_pools.call(
            record.node_id, message, call.authority
        )
        answer = converters.message_to_answer(reply)
    except (errors.UnreachableError, errors.AuthenticationError) as error:
        runtime.peer_views.failed(record.node_id)
        return messages.refusal(
            outcomes.Reason.UNREACHABLE,
            503,
            str(error),
            retry_after_ms=_RETRY_AFTER_MS,
            retryable=True,
        )
    except (
        errors.ConnectionLostError,
        errors.ProtocolError,
        ValueError,
    ) as error:
        runtime.peer_views.failed(record.node_id)
        return messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, str(error), retryable=True
        )
    finally:
        runtime.peer_views.finished(record.node_id)
    runtime.peer_views.heard(record.node_id, answer)
    return answer


def _deadline_refusal() -> messages.Answer:
    return messages.refusal(
        outcomes.Reason.DEADLINE, 504, "the deadline passed before a try"
    )
