"""Serves a call at the local target."""

import dataclasses
import functools

import trio

from sassafras_base import errors
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import levels
from sassafras_policy.balancing import load_reports
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.calls import reports
from sassafras_policy.mesh import calls
from sassafras_wire.http import fields

_NO_FIELDS: frozenset[str] = frozenset()


async def serve(
    runtime: runtimes.Runtime,
    call: calls.Call,
    target_id: str,
    progress: progresses.Progress,
) -> messages.CallResponse:
    """Admits a call, sends it to the target and returns the whole response.

    Args:
      runtime: The node.
      call: The call.
      target_id: The target that the first node chose; a target that has since
        replaced it does not get the call.
      progress: Updated when the first byte is sent.
    """
    target = runtime.target
    current = target.serving
    if (
        current is None
        or runtime.drain.refuses_new
        or current.service != call.service
        or current.target_id != target_id
    ):
        return messages.refusal(
            outcomes.Reason.LEAVING, 503, "the target takes no calls"
        )
    # Most targets are neither; a function call costs each visit of a call.
    if runtime.evacuations.closes_own_zone or target.cold_start.rate_per_s:
        refusal = _refuse_unsent(runtime, call)
        if refusal is not None:
            return refusal
    gate = target.gate
    if not target.performance.has_begun:
        target.performance.begin(call.usual_s)
    admission = await gate.enter(call.context)
    slot_s = 0.0
    if admission is gates.AdmissionResult.ADMITTED:
        entered = runtime.clock.now() if gate.reports_room else 0.0
        response = await _exchange(runtime, call, target_id, gate, progress)
        if gate.reports_room:
            slot_s = runtime.clock.now() - entered
    elif admission is gates.AdmissionResult.LATE:
        response = messages.refusal(
            outcomes.Reason.DEADLINE, 503, "the deadline passed in the queue"
        )
    else:
        response = messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            f"the target of service {call.service} has no room",
            retry_after_ms=levels.retry_after_ms(call.context.rank, gate.level),
        )
    report = None
    if runtime.balancer.uses_reports:
        report = target.performance.report(call.route)
    return response.at_target(
        max(gate.load, response.load),
        ((call.service, runtime.effective_level(call)),),
        target.cold_s if target.cold_start.rate_per_s else 0.0,
        report,
        _with_own_report(call, response, gate.room, slot_s)
        if gate.reports_room
        else response.reports,
    )


def _with_own_report(
    call: calls.Call,
    response: messages.CallResponse,
    room: reports.Room | None,
    slot_s: float,
) -> tuple[reports.ServiceReport, ...]:
    """Returns the reports of the sub-calls and that of the call itself."""
    if room is None:
        return response.reports
    own = reports.ServiceReport(call.service, 1, slot_s, room)
    for below in response.reports:
        if below.service == call.service:
            # The service calls itself.
            total = reports.ReportSum()
            total.add((own, *response.reports), 0.0)
            return total.reports(0.0)
    return (own, *response.reports)


async def _exchange(
    runtime: runtimes.Runtime,
    call: calls.Call,
    target_id: str,
    gate: gates.AdmissionGate,
    progress: progresses.Progress,
) -> messages.CallResponse:
    front_end = runtime.platform.front_end
    started = runtime.clock.now()
    performance = runtime.target.performance
    in_flight = gate.in_flight
    load_report: load_reports.LoadReport | None = None
    # Whether the target answered well; None if the call does not show it.
    succeeded: bool | None = None
    is_late = False
    running = calls.RunningCall(call)
    if call.request_id:
        runtime.running_calls[call.request_id] = running
    try:
        # Sending does not yield, so a call whose caller has left, or whose
        # deadline has passed, would otherwise still be sent.
        await trio.lowlevel.checkpoint_if_cancelled()
        if started >= call.context.deadline:
            return deadline_passed(progress)
        # The target may have become cold, or its zone been evacuated, while
        # the call waited for a slot.
        cold_start = runtime.target.cold_start
        if runtime.evacuations.closes_own_zone or cold_start.rate_per_s:
            refusal = _refuse_unsent(runtime, call)
            if refusal is not None:
                return refusal
            cold_start.record_call(started)
        response = await runtime.target.pool.exchange(
            front_end.target_request(
                call, target_id, call.context.deadline - started
            ),
            progress,
            functools.partial(front_end.match_response, call),
            call.context.deadline,
        )
        target_response = front_end.read_target_response(response)
        if not target_response.ran:
            progress.may_have_run = False
            succeeded = False
            return messages.refusal(
                outcomes.Reason.TURNED_AWAY, 503, "the target turned it away"
            )
        if not target_response.is_intact:
            succeeded = False
            return messages.unknown(
                outcomes.Reason.TARGET_PROTOCOL,
                502,
                "the answer is not the target's own",
            )
        load_report = target_response.load_report
        sub_call_failed = runtime.sub_call_failed_at >= started
        if response.status < 500:
            succeeded = True
        elif not sub_call_failed:
            succeeded = False
        return messages.CallResponse(
            outcome=outcomes.Outcome.RAN,
            status=response.status,
            headers=fields.end_to_end(response.headers, _NO_FIELDS),
            body=response.body,
            sub_call_failed=sub_call_failed,
            reports=(
                ()
                if running.reports is None
                else running.reports.reports(runtime.clock.now())
            ),
        )
    except errors.SassafrasError as error:
        if isinstance(error, errors.RefusedError):
            # The target has ended, and may start again under the same id.
            runtime.target.doubt_warmth("connection refused")
        if runtime.clock.now() >= call.context.deadline:
            is_late = True
            return deadline_passed(progress)
        succeeded = False
        return _failure(error)
    finally:
        runtime.running_calls.pop(call.request_id, None)
        now = runtime.clock.now()
        if succeeded:
            gate.leave(now - started, True)
        else:
            gate.leave_with_error()
        if runtime.balancer.uses_reports and (succeeded is not None or is_late):
            usual_s = call.usual_s or runtime.target_tracker.usual_s(
                call.service, call.route
            )
            if is_late:
                performance.record_timeout(
                    call, started, in_flight, usual_s, now
                )
            else:
                performance.record(
                    call,
                    started,
                    in_flight,
                    bool(succeeded),
                    load_report,
                    usual_s,
                    now,
                )


def _refuse_unsent(
    runtime: runtimes.Runtime, call: calls.Call
) -> messages.CallResponse | None:
    """Returns why a call may not be sent to the target now; None if it may."""
    if runtime.evacuations.closes_own_zone:
        return _withhold(
            runtime,
            outcomes.Reason.EVACUATED,
            "the target's availability zone is evacuated",
            # The first node knows of it by then, or has another view.
            runtime.settings.bounds.configuration_apply_s,
        )
    cold_start = runtime.target.cold_start
    if not cold_start.rate_per_s:
        return None
    now = runtime.clock.now()
    if not cold_start.refuses(call.context, runtime.scale, now):
        return None
    return _withhold(
        runtime,
        outcomes.Reason.COLD_TARGET,
        f"the target of service {call.service} is cold",
        cold_start.remaining_s(now),
    )


def _withhold(
    runtime: runtimes.Runtime,
    reason: outcomes.Reason,
    detail: str,
    cold_s: float,
) -> messages.CallResponse:
    """Counts and returns the refusal of a call that a target cannot take."""
    runtime.measurements.count("withheld_calls", str(reason))
    return dataclasses.replace(
        messages.refusal(
            reason, 503, detail, retry_after_ms=messages.RETRY_AFTER_MS
        ),
        # A target that takes no more calls is as good as full.
        load=1.0,
        cold_s=cold_s,
    )


def _failure(error: errors.SassafrasError) -> messages.CallResponse:
    """Returns the response to a call that the target did not answer."""
    if isinstance(error, errors.UnreachableError):
        return messages.refusal(outcomes.Reason.UNREACHABLE, 503, str(error))
    if isinstance(error, errors.MemoryLimitError):
        return messages.unknown(outcomes.Reason.MEMORY, 502, str(error))
    if isinstance(error, errors.ConnectionLostError):
        return messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, str(error)
        )
    return messages.unknown(outcomes.Reason.TARGET_PROTOCOL, 502, str(error))


def deadline_passed(progress: progresses.Progress) -> messages.CallResponse:
    """Returns the response to a call that was ended at its deadline."""
    if progress.may_have_run:
        return messages.unknown(
            outcomes.Reason.DEADLINE, 504, "the deadline passed"
        )
    return messages.refusal(
        outcomes.Reason.DEADLINE, 503, "the deadline passed before it was sent"
    )
