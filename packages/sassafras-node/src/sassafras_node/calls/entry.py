"""Entry of requests: identity, context and organisation limit."""

import math
import secrets

from sassafras_base import hashing
from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import idempotent
from sassafras_node.calls import shedding
from sassafras_node.calls import sub_calls
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import indexes
from sassafras_policy.retries import allowance
from sassafras_wire.http import fields


async def handle_root(
    runtime: runtimes.Runtime, request: messages.Request
) -> messages.CallResponse:
    """Serves a request from a caller."""
    index = runtime.configuration.index
    if runtime.drain.is_draining:
        return messages.refusal(
            outcomes.Reason.LEAVING,
            503,
            "this node is stopping; use another",
            retry_after_ms=messages.RETRY_AFTER_MS,
        )
    if index is None:
        return messages.refusal(
            outcomes.Reason.NO_CONFIGURATION,
            503,
            "this node has no configuration yet",
            retry_after_ms=messages.RETRY_AFTER_MS,
        )
    entry = index.find_route(request.method, request.path_without_query)
    if entry is None:
        return _no_route(request)
    organisation = ""
    key = fields.bearer_key(request.headers)
    if key is not None:
        found = index.find_organisation(key)
        organisation = found.name if found else ""
    if not organisation and not entry.route.is_open:
        return _unauthenticated()
    scope = idempotent.read_key(request, entry, organisation)
    if isinstance(scope, messages.CallResponse):
        return scope
    if organisation:
        retry_after_s = await runtime.limit_gate.admit(organisation)
        if retry_after_s is not None:
            return messages.refusal(
                outcomes.Reason.ORGANISATION_LIMIT,
                429,
                f"organisation {organisation} is over its rate",
                retry_after_ms=math.ceil(retry_after_s * 1000),
            )
    call = contexts.ActiveCall(
        context=_new_context(runtime, request, entry, organisation),
        authority=contexts.LocalAuthority(
            allowance.RetryAllowance(index.document.retry_limit)
        ),
        idempotency_scope=scope,
    )
    runtime.retry_guard.count_first_attempt(runtime.clock.now())
    return await shedding.serve(runtime, request, call)


async def handle_sub_call(
    runtime: runtimes.Runtime, request: messages.Request
) -> messages.CallResponse:
    """Serves a request from the local target."""
    index = runtime.configuration.index
    if index is None:
        return messages.refusal(
            outcomes.Reason.NO_CONFIGURATION, 503, "no configuration yet"
        )
    entry = index.find_route(request.method, request.path_without_query)
    if entry is None:
        return _no_route(request)
    execution = runtime.contexts.find(request.header(fields.CONTEXT))
    if execution is None:
        if not entry.route.is_open:
            return _unauthenticated()
        call = contexts.ActiveCall(
            context=_new_context(runtime, request, entry, ""),
            authority=contexts.LocalAuthority(
                allowance.RetryAllowance(index.document.retry_limit)
            ),
        )
        runtime.retry_guard.count_first_attempt(runtime.clock.now())
        return await shedding.serve(runtime, request, call)
    parent = execution.call
    now = runtime.clock.now()
    context = messages.CallContext(
        root_id=parent.context.root_id,
        organisation=parent.context.organisation,
        priority=parent.context.priority,
        bucket=parent.context.bucket,
        deadline=min(
            parent.context.deadline,
            _deadline(now, request, entry.route.deadline_ms),
        ),
        depth=parent.context.depth + 1,
        at_most_once=entry.route.at_most_once,
    )
    scope = idempotent.read_key(request, entry, context.organisation)
    if isinstance(scope, messages.CallResponse):
        return scope
    call = contexts.ActiveCall(
        context=context, authority=parent.authority, idempotency_scope=scope
    )
    parent.sub_call_tracker.record_start(now)
    try:
        response = await sub_calls.serve_sub_call(
            runtime, request, call, execution
        )
        parent.sub_call_tracker.record_response(response)
    finally:
        parent.sub_call_tracker.record_end(runtime.clock.now())
    return response


def _new_context(
    runtime: runtimes.Runtime,
    request: messages.Request,
    entry: indexes.RouteEntry,
    organisation: str,
) -> messages.CallContext:
    root_id = secrets.token_hex(16)
    return messages.CallContext(
        root_id=root_id,
        organisation=organisation,
        priority=entry.priority,
        bucket=hashing.stable_hash(root_id) % messages.BUCKET_COUNT,
        deadline=_deadline(
            runtime.clock.now(), request, entry.route.deadline_ms
        ),
        depth=0,
        at_most_once=entry.route.at_most_once,
    )


def _deadline(now: float, request: messages.Request, max_ms: int) -> float:
    requested = request.header(fields.DEADLINE_MS)
    duration_ms = max_ms
    if requested is not None:
        duration_ms = min(max_ms, fields.duration_ms(requested, max_ms))
    return now + duration_ms / 1000


def _no_route(request: messages.Request) -> messages.CallResponse:
    return messages.refusal(
        outcomes.Reason.NO_ROUTE,
        404,
        f"no route for {request.method} {request.path_without_query}",
    )


def _unauthenticated() -> messages.CallResponse:
    return messages.refusal(
        outcomes.Reason.UNAUTHENTICATED,
        401,
        "the route needs a key that is in force, as 'Authorization: Bearer'",
    )
