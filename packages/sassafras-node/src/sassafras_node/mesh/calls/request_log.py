"""Logs and counts finished requests."""

from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import dispatch
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import calls


@events.declare(820, "INFO")
def request_ended(
    request_id: str,
    route: str,
    service: str,
    organisation: str,
    outcome: str,
    reason: str,
    status: int,
    elapsed_ms: int,
    nodes: str,
    sends: int,
    version: int,
    confirmed_ms: int,
) -> str:
    """A request of a caller or of the local target has ended.

    `nodes` are the nodes that it was sent to, in order. `version` is that of
    the active configuration and `confirmed_ms` the age of the proof that it is
    the newest.
    """
    return f"request {request_id} ended {outcome} {reason} {status}"


def record(
    runtime: runtimes.Runtime,
    caller_request: interfaces.CallerRequest,
    call: calls.Call | None,
    history: dispatch.SendHistory,
    response: messages.CallResponse,
    started: float,
) -> None:
    """Logs and counts how a request ended.

    A sub-call that its first target answered is only counted: a root request
    makes ten of them, and their log lines would displace those of failures.
    """
    elapsed_s = runtime.clock.now() - started
    runtime.measurements.count_end("requests", response)
    if call is not None and call.context.depth:
        runtime.measurements.count_end("sub_calls", response)
    if call is not None and response.outcome is outcomes.Outcome.RAN:
        runtime.measurements.observe(call.service, elapsed_s)
        if (
            call.context.depth
            and response.status < 500
            and len(history.tried) == 1
        ):
            return
    age_s = runtime.freshness.age_s(runtime.clock.now_with_suspend())
    request_ended(
        caller_request.request_id,
        call.route if call else "",
        call.service if call else "",
        call.organisation if call else "",
        str(response.outcome),
        str(response.reason),
        response.status,
        int(elapsed_s * 1000),
        ",".join(history.tried),
        history.sends,
        runtime.version,
        int(age_s * 1000),
    )
