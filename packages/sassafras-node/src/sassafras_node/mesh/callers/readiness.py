"""Serves readiness checks and metrics on one connection."""

from sassafras_node import http_session
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.reports import exposition
from sassafras_policy.admission import connections
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import sockets

_METRICS_PATH = "/metrics"


async def serve(
    runtime: runtimes.Runtime,
    group: connections.ConnectionGroup,
    stream: sockets.SocketStream,
    peer: str,
) -> None:
    """Serves requests until the client disconnects."""

    async def handle(request: messages.Request) -> messages.CallResponse:
        if request.path_without_query == _METRICS_PATH:
            return _metrics(runtime)
        if not runtime.platform.codecs.is_readiness_check(request):
            return messages.refusal(
                outcomes.Reason.NO_ROUTE, 404, "ask for readiness or metrics"
            )
        status = 200 if runtime.is_ready else 503
        return messages.CallResponse(
            outcome=outcomes.Outcome.RAN, status=status
        )

    await http_session.serve(
        runtime,
        stream,
        peer,
        handle,
        format_headers=runtime.platform.front_end.response_headers,
        group=group,
    )


def _metrics(runtime: runtimes.Runtime) -> messages.CallResponse:
    now = runtime.clock.now_with_suspend()
    age_s = runtime.freshness.age_s(now)
    gate = runtime.target.gate
    text = runtime.measurements.render(
        {
            "configuration_version": (
                "Configuration version in force.",
                runtime.version,
            ),
            "configuration_age_s": (
                "Age of the proof that it is the newest.",
                age_s,
            ),
            "configuration_unproved": (
                "1 while the store, back from a copy, may lack the newest.",
                int(runtime.is_unproved),
            ),
            "store_era": (
                "How often the store has come back from a copy.",
                runtime.store_era.era,
            ),
            "peers": ("Other nodes known.", len(runtime.fleet)),
            "members_revision": (
                "Revision of the store up to which all entries are known.",
                runtime.members.revision,
            ),
            "owned_pools": (
                "Organisations for which this node owns the token pool.",
                runtime.limiter.owned_pools,
            ),
            "rates_held_s": (
                "Time for which this node may use its part of the rates.",
                max(0.0, runtime.rate_lease.until - now),
            ),
            "in_flight": ("Requests being served.", runtime.drain.in_flight),
            "request_bytes": (
                "Bytes of request bodies held.",
                runtime.body_budget.reserved_bytes,
            ),
            "response_bytes": (
                "Bytes of responses held.",
                runtime.response_budget.held_bytes,
            ),
            "sockets": (
                "Sockets of callers, nodes and the target that are open.",
                runtime.connections.budget.open,
            ),
            "target_serving": (
                "1 while the target beside the node takes calls.",
                int(runtime.target.is_serving),
            ),
            "target_load": (
                "Calls at the target as a part of its limit.",
                gate.load,
            ),
            "target_limit": (
                "Calls that the target may run at once.",
                gate.limit,
            ),
            "target_closed": (
                "1 while the target beside the node gets no calls, as its zone"
                " is evacuated or this is not known yet.",
                int(runtime.evacuations.closes_own_zone),
            ),
            "target_cold": (
                "1 while the target beside the node gets calls at the rate of"
                " a cold one only.",
                int(runtime.target.is_cold),
            ),
            "evacuated_zones": (
                "Availability zones whose targets get no calls.",
                len(runtime.evacuations.zones),
            ),
            "target_slots": (
                "Calls that the target announced that it can run at once.",
                gate.slots,
            ),
            "target_work_ms": (
                "Expected time of a call at the target, of the slowest route.",
                1000 * runtime.target.performance.longest_s,
            ),
            "admitted_share": (
                "Part of the requests that fits into the scarcest service.",
                min(runtime.requests.admitted_shares.values(), default=1.0),
            ),
            "admission_level": (
                "Calls of this rank and above are refused.",
                gate.level,
            ),
        }
    )
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN,
        headers=(("content-type", exposition.CONTENT_TYPE),),
        body=text.encode(),
    )
