"""Admits requests at the first node and creates calls for them."""

import dataclasses

from sassafras_base import events
from sassafras_base import hashing
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import dispatch
from sassafras_node.mesh.calls import request_admission
from sassafras_node.mesh.calls import request_log
from sassafras_policy.admission import memory as memories
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.calls import reports
from sassafras_policy.configuration import document
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import configuration

# For callers that send no timeout.
_DEFAULT_TIMEOUT_S = 30.0
# The response on a timeout is sent this long before the caller or the operator
# expects it, so that it arrives in time.
_RESPONSE_MARGIN_S = 0.02
# Retry-After delay of refusals. The jitter is drawn anew for each, so that
# callers do not retry together.
_RETRY_AFTER_MS = 300
_RETRY_AFTER_JITTER_MS = 700


@events.declare(821, "INFO")
def rate_refused(
    request_id: str,
    organisation: str,
    rate_per_s: float,
    share_per_s: float,
    held: float,
    demand_per_s: float,
    fleet_demand_per_s: float,
    nodes: int,
    pool_owner: str,
) -> str:
    """A request was refused because its organisation is over its rate.

    `share_per_s` is this node's part of the rate, `held` the tokens left. Where
    the share is 0, the whole rate is in a pool at one node, and
    `fleet_demand_per_s` counts this node only. `pool_owner` follows from the
    `nodes` that this one counts; one that counts others asks another owner.
    """
    return f"request {request_id} over the rate of {organisation}"


async def serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    memory: memories.Reservation | None = None,
) -> messages.CallResponse:
    """Serves a request of a caller or of the local target.

    Args:
      runtime: The node.
      request: The request.
      memory: Grows by the bytes of the response.
    """
    started = runtime.clock.now()
    caller_request = runtime.platform.front_end.read_request(request)
    history = dispatch.SendHistory(progresses.Progress(memory=memory))
    admitted = await _admit(runtime, caller_request, started)
    if isinstance(admitted, messages.CallResponse):
        response = admitted
        call = None
    else:
        call = admitted
        response = await dispatch.dispatch(runtime, call, history)
        if call.context.depth:
            _record_sub_call(runtime, caller_request, response)
        elif runtime.requests.is_active:
            runtime.requests.record_response(
                call.route,
                call.service,
                response,
                started,
                runtime.clock.now(),
            )
    response = _with_retry_after(runtime, response)
    request_log.record(
        runtime, caller_request, call, history, response, started
    )
    return response


def _record_sub_call(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    response: messages.CallResponse,
) -> None:
    """Records how a call of the local target ended, for its further calls."""
    parent = runtime.running_calls.get(caller_request.parent_id)
    if parent is not None and response.reports:
        if parent.reports is None:
            parent.reports = reports.ReportSum()
        parent.reports.add(response.reports, runtime.clock.now())
    if response.status >= 500:
        runtime.sub_call_failed_at = runtime.clock.now()
        return
    if parent is not None and response.outcome is outcomes.Outcome.RAN:
        parent.sub_calls_done += 1


async def _admit(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    now: float,
) -> calls.Call | messages.CallResponse:
    """Returns the call, or the refusal of the request."""
    table = runtime.routing
    if table is None or not runtime.is_fleet_loaded:
        return _refuse_for_now(
            outcomes.Reason.NO_CONFIGURATION,
            "the node does not know the configuration or the fleet yet",
        )
    route = table.find(caller_request.host, caller_request.request.path)
    if runtime.drain.refuses_new and not _is_sub_call(
        runtime, caller_request, route
    ):
        return _refuse_for_now(outcomes.Reason.LEAVING, "the node is stopping")
    if route is None:
        return _refusal_unless_outdated(runtime, outcomes.Reason.NO_ROUTE, 404)
    organisation: configuration.Organisation | None = None
    if table.source.organisations and not route.is_open:
        if not runtime.freshness.permits_keys(runtime.clock.now_with_suspend()):
            return _outdated_refusal()
        if caller_request.key is not None:
            organisation = table.organisation_of(caller_request.key)
        if organisation is None:
            return _refusal_unless_outdated(
                runtime, outcomes.Reason.UNAUTHENTICATED, 401
            )
        refusal = await _take_token(
            runtime,
            organisation,
            caller_request.request_id,
            _left_s(caller_request),
        )
        if refusal is not None:
            return refusal
    call = _make_call(runtime, caller_request, route, organisation, now)
    if call.context.depth or not runtime.requests.is_active:
        return call
    return request_admission.admit(
        runtime, call, route.target_latency_s, _left_s(caller_request)
    )


def _left_s(caller_request: interfaces.CallerRequest) -> float:
    """Returns how long the caller will wait."""
    left_s = caller_request.caller_timeout_s
    return _DEFAULT_TIMEOUT_S if left_s is None else left_s


async def _take_token(
    runtime: runtimes.Runtime,
    organisation: configuration.Organisation,
    request_id: str,
    left_s: float,
) -> messages.CallResponse | None:
    if organisation.account.rate_per_s <= 0:
        return None
    account = organisation.account
    retry_after_s = await runtime.limit_gate.admit(account.name)
    if retry_after_s is None:
        return None
    share = runtime.limiter.share(
        account.name, runtime.clock.now_with_suspend()
    )
    rate_refused(
        request_id,
        account.name,
        account.rate_per_s,
        round(share.rate_per_s, 2),
        round(share.held, 2),
        round(share.demand_per_s, 2),
        round(share.fleet_demand_per_s, 2),
        len(runtime.fleet) + 1,
        share.pool_owner,
    )
    return messages.refusal(
        outcomes.Reason.ORGANISATION_LIMIT,
        429,
        "the organisation's rate is used up",
        retry_after_ms=max(
            1,
            int(1000 * _token_due_s(runtime, account, retry_after_s, left_s)),
        ),
        is_scheduled=runtime.requests.is_active,
    )


def _token_due_s(
    runtime: runtimes.Runtime,
    account: document.Organisation,
    due_s: float,
    left_s: float,
) -> float:
    """Returns when a caller that got no token should come back."""
    if not runtime.requests.is_active:
        return due_s
    hosts = len(runtime.fleet) + 1
    return runtime.token_schedule.delay_s(
        account.name,
        due_s,
        account.rate_per_s / hosts,
        left_s,
        runtime.clock.now_with_suspend(),
    )


def _make_call(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    route: configuration.Route,
    organisation: configuration.Organisation | None,
    now: float,
) -> calls.Call:
    assert runtime.routing is not None
    time_limit_s = _left_s(caller_request)
    if route.timeout_s:
        time_limit_s = min(time_limit_s, route.timeout_s)
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    name = organisation.account.name if organisation else ""
    service = runtime.routing.service_for(route)
    deadline = (
        min(now + time_limit_s, runtime.drain.ends_at) - _RESPONSE_MARGIN_S
    )
    depth = 0
    bucket: int | None = None
    stage = 0
    part = 1.0
    if organisation is None:
        # Without an organisation it is a sub-call, as only targets use routes
        # that need no key.
        depth = 1
        parent = _find_parent(runtime, caller_request, route, service)
        if parent is not None:
            # With the rank of its own route, a downstream service could not
            # tell the calls of a settlement from those of a status check, and
            # refused both entirely.
            inherited = parent.call.context
            priority = inherited.priority
            bucket = inherited.bucket
            deadline = min(deadline, inherited.deadline)
            depth = inherited.depth + 1
            part = inherited.part
            stage = parent.sub_calls_done
    if bucket is None:
        bucket = (
            hashing.stable_hash(caller_request.request_id)
            % messages.BUCKET_COUNT
        )
    context = messages.CallContext(
        root_id=caller_request.request_id,
        organisation=name,
        priority=priority,
        bucket=bucket,
        deadline=deadline,
        depth=depth,
        at_most_once=not route.is_idempotent,
        part=part,
    )
    return calls.Call(
        request=caller_request.request,
        request_id=caller_request.request_id,
        caller_service=runtime.settings.host.target_service,
        organisation=name,
        service=service,
        context=context,
        is_idempotent=route.is_idempotent,
        route=route.name,
        max_targets=route.max_targets,
        stage=stage,
    )


def _find_parent(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    route: configuration.Route,
    service: str,
) -> calls.RunningCall | None:
    """Returns the request that made a sub-call, and records which it calls."""
    parent = runtime.running_calls.get(caller_request.parent_id)
    parents = (
        list(runtime.running_calls.values()) if parent is None else [parent]
    )
    for running in parents:
        runtime.downstream_levels.record_call(
            running.call.route, service, route.name
        )
    return parent


def _is_sub_call(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    route: configuration.Route | None,
) -> bool:
    """Returns whether the local target needs a request for one that it runs."""
    return caller_request.parent_id in runtime.running_calls or (
        route is not None and route.is_open and bool(runtime.running_calls)
    )


def _refuse_for_now(
    reason: outcomes.Reason, detail: str
) -> messages.CallResponse:
    return messages.refusal(
        reason, 503, detail, retry_after_ms=messages.RETRY_AFTER_MS
    )


def _refusal_unless_outdated(
    runtime: runtimes.Runtime, reason: outcomes.Reason, status: int
) -> messages.CallResponse:
    """Refuses finally only while the configuration is known to be current."""
    if not runtime.freshness.permits_keys(runtime.clock.now_with_suspend()):
        return _outdated_refusal()
    return messages.refusal(reason, status, str(reason))


def _outdated_refusal() -> messages.CallResponse:
    return _refuse_for_now(
        outcomes.Reason.NO_CONFIGURATION,
        "the configuration may be outdated; the store is not reached",
    )


def _with_retry_after(
    runtime: runtimes.Runtime, response: messages.CallResponse
) -> messages.CallResponse:
    """Adds the Retry-After delay to a refusal."""
    if response.outcome is outcomes.Outcome.RAN:
        return response
    if response.is_scheduled:
        return response
    jitter_ms = runtime.rng.random() * _RETRY_AFTER_JITTER_MS
    if response.status == 503:
        delay_ms = _RETRY_AFTER_MS + jitter_ms
    elif response.status == 429:
        # The next token may be due at once, but not for every waiting caller.
        delay_ms = response.retry_after_ms + jitter_ms
    else:
        return response
    return dataclasses.replace(response, retry_after_ms=int(delay_ms) + 1)
