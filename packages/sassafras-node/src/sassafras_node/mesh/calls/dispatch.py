"""Choice of a target for a call, and further sends to other targets."""

import dataclasses

import trio

from sassafras_base import errors
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import local
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import call_messages

# A peer ends a call this long before its first node does, so that its own
# verdict, which is exact, arrives in time.
_VERDICT_MARGIN_S = 0.01
# Waiting a little for the verdict delays only answers that are late anyway.
_VERDICT_GRACE_S = 0.05
# Nodes asked for a place before a call is refused. A refusal of a node has
# not reached its target, so it uses nothing of the shared budget.
_MOST_REFUSALS = 2
# Time for a second run to be of use.
_SMALLEST_REMAINDER_S = 0.05


@dataclasses.dataclass(slots=True)
class Trail:
    """Where a call has been, for the decisions and for the log.

    Attributes:
      progress: Whether it may have run.
      tried: Nodes that it was sent to.
      sends: Targets that it may have reached.
      refusals: Nodes that refused it for want of room.
    """

    progress: progresses.Progress = dataclasses.field(
        default_factory=progresses.Progress
    )
    tried: list[str] = dataclasses.field(default_factory=list)
    sends: int = 0
    refusals: int = 0


async def dispatch(
    runtime: runtimes.Runtime, call: calls.Call, trail: Trail
) -> messages.Answer:
    """Returns the answer of a target, or how the call ended without one."""
    remaining_s = call.context.deadline - runtime.clock.now()
    answer: messages.Answer | None = None
    with trio.move_on_after(max(0.0, remaining_s + _VERDICT_GRACE_S)):
        answer = await _send_until_final(runtime, call, trail)
    if answer is None:
        return local.deadline_passed(trail.progress)
    if (
        answer.outcome is outcomes.Outcome.NOT_RUN
        and trail.progress.may_have_run
    ):
        # The last send did not run, but an earlier one may have.
        return messages.unknown(
            answer.reason, 502, "an earlier send may have run"
        )
    return answer


async def _send_until_final(
    runtime: runtimes.Runtime, call: calls.Call, trail: Trail
) -> messages.Answer:
    now = runtime.clock.now()
    runtime.spending.count_request(call.service, now)
    if runtime.is_shed(call):
        # Refused here, before a node of the service spends time on it.
        return messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            f"service {call.service}, or one that it calls, is overloaded",
        )
    answer: messages.Answer | None = None
    while True:
        entry = _choose(runtime, call, trail)
        if entry is None:
            return answer or messages.refusal(
                outcomes.Reason.NO_TARGET,
                503,
                f"no target of service {call.service} takes calls",
                retry_after_ms=messages.RETRY_AFTER_MS,
            )
        trail.tried.append(entry.node_id)
        may_have_run = trail.progress.may_have_run
        trail.progress.may_have_run = False
        try:
            answer = await _send(runtime, call, entry, trail.progress)
        finally:
            trail.progress.may_have_run |= may_have_run
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            trail.progress.may_have_run = may_have_run
        for service, level in answer.levels:
            runtime.downstream.heard(
                service, call.route, level, runtime.clock.now()
            )
        if not _may_send_again(runtime, call, trail, answer):
            return answer


def _may_send_again(
    runtime: runtimes.Runtime,
    call: calls.Call,
    trail: Trail,
    answer: messages.Answer,
) -> bool:
    """Decides whether a call goes to one more target."""
    if answer.outcome is outcomes.Outcome.RAN:
        return False
    now = runtime.clock.now()
    if call.context.deadline - now < _SMALLEST_REMAINDER_S:
        return False
    if answer.outcome is outcomes.Outcome.NOT_RUN and (
        answer.reason is not outcomes.Reason.TURNED_AWAY
    ):
        trail.refusals += 1
        return trail.refusals < _MOST_REFUSALS
    trail.sends += 1
    if answer.outcome is outcomes.Outcome.UNKNOWN and not call.is_idempotent:
        return False
    if trail.sends >= call.most_targets:
        return False
    return runtime.spending.take(call.service, now)


def _choose(
    runtime: runtimes.Runtime, call: calls.Call, trail: Trail
) -> targets.NodeEntry | None:
    own = runtime.entry
    is_own = own.node_id not in trail.tried and own.service == call.service
    if (
        is_own
        and runtime.target.gate.load < 1.0
        and not runtime.views.is_ejected(own.node_id)
    ):
        return own
    serving = [
        entry
        for entry in runtime.fleet.serving(call.service)
        if entry.node_id not in trail.tried
    ]
    if is_own:
        serving.append(own)
    candidates = [
        runtime.views.candidate_of(
            entry.node_id,
            identity=(
                entry.incarnation,
                entry.target and entry.target.target_id,
            ),
            same_zone=entry.availability_zone == own.availability_zone,
            slots=entry.target.capacity if entry.target else 1,
            cold_start_s=entry.target.cold_start_s if entry.target else 0.0,
        )
        for entry in serving
    ]
    choice = runtime.balancer.choose(candidates)
    if choice is None:
        return None
    if choice.node_id == own.node_id:
        return own
    return runtime.fleet.get(choice.node_id)


async def _send(
    runtime: runtimes.Runtime,
    call: calls.Call,
    entry: targets.NodeEntry,
    progress: progresses.Progress,
) -> messages.Answer:
    target_id = entry.target.target_id if entry.target else ""
    views = runtime.views
    if entry.node_id == runtime.settings.host.node_id:
        answer = await local.serve(runtime, call, target_id, progress)
        views.heard(entry.node_id, answer)
        return answer
    remaining_s = max(0.0, call.context.deadline - runtime.clock.now())
    request = call_messages.to_message(
        call,
        target_id,
        remaining_s - min(_VERDICT_MARGIN_S, remaining_s / 4),
    )
    views.started(entry.node_id)
    try:
        reply = await runtime.call_pools.exchange(
            entry.call_address, request, progress
        )
        answer = call_messages.to_answer(reply, call.service)
    except errors.UnreachableError as error:
        views.failed(entry.node_id)
        return messages.refusal(outcomes.Reason.UNREACHABLE, 503, str(error))
    except (errors.ConnectionLostError, errors.ProtocolError) as error:
        views.failed(entry.node_id)
        return messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, str(error)
        )
    finally:
        views.finished(entry.node_id)
    views.heard(entry.node_id, answer)
    return answer
