"""Chooses a target for a call and sends it to others on failure."""

from collections.abc import Sequence
import dataclasses

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import local
from sassafras_policy.admission import levels
from sassafras_policy.balancing import balancers
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import link_messages

# A peer ends a call this long before the first node does. The peer can tell
# whether the call may have run, so its response should arrive in time.
_PEER_MARGIN_S = 0.01
# Waiting a little for the peer delays only responses that are late anyway.
_PEER_GRACE_S = 0.05
# Nodes that may refuse a call before it fails. A call refused by a node has not
# reached its target, so it uses nothing of the shared budget.
_MAX_REFUSALS = 2
# Targets of the zone that a choice compares while one of them has room.
_SAMPLE_SIZE = 2
# Targets of all zones that a choice compares otherwise, so that a choice costs
# the same for a service of any size.
_WIDE_SAMPLE_SIZE = 20
# A second execution is of no use with less time left.
_MIN_REMAINING_S = 0.05


@events.declare(822, "INFO")
def request_shed(
    request_id: str,
    service: str,
    rank: int,
    processor_level: int,
    service_level: int,
    lag_ms: int,
) -> str:
    """A request was refused at its first node before it was sent anywhere.

    It passes if its `rank` is below the level of this node's own processor,
    whose event loop was `lag_ms` late, and below that of the service and of
    those that it calls, as far as responses have told it.
    """
    return f"request {request_id} shed at its first node"


@dataclasses.dataclass(slots=True)
class SendHistory:
    """Sends of a call so far, for retry decisions and for the log.

    Attributes:
      progress: Whether it may have run.
      tried: Nodes that it was sent to.
      sends: Targets that it may have reached.
      refusals: Sends that failed before the call reached a target.
    """

    progress: progresses.Progress = dataclasses.field(
        default_factory=progresses.Progress
    )
    tried: list[str] = dataclasses.field(default_factory=list)
    sends: int = 0
    refusals: int = 0


async def dispatch(
    runtime: runtimes.Runtime, call: calls.Call, history: SendHistory
) -> messages.CallResponse:
    """Returns the response of a target, or why there is none."""
    response = await _send_until_final(runtime, call, history)
    if (
        response.outcome is outcomes.Outcome.NOT_RUN
        and history.progress.may_have_run
    ):
        # The last send did not run, but an earlier one may have.
        return messages.unknown(
            response.reason, 502, "an earlier send may have run"
        )
    return response


async def _send_until_final(
    runtime: runtimes.Runtime, call: calls.Call, history: SendHistory
) -> messages.CallResponse:
    now = runtime.clock.now()
    runtime.retry_budget.count_request(call.service, now)
    runtime.processor.record_call(call.context.rank)
    if _is_shed(runtime, call):
        # Refused here, before a node of the service spends time on it.
        return messages.refusal(
            outcomes.Reason.OVERLOAD,
            503,
            f"service {call.service}, or one that it calls, is overloaded",
        )
    response: messages.CallResponse | None = None
    while True:
        entry = _choose(runtime, call, history)
        if entry is None:
            return response or messages.refusal(
                outcomes.Reason.NO_TARGET,
                503,
                f"no target of service {call.service} takes calls",
                retry_after_ms=messages.RETRY_AFTER_MS,
            )
        history.tried.append(entry.node_id)
        if history.progress.memory is not None:
            # The response to a send that failed is not needed any more.
            history.progress.memory.release()
        may_have_run = history.progress.may_have_run
        history.progress.may_have_run = False
        try:
            response = await _send(runtime, call, entry, history.progress)
        finally:
            history.progress.may_have_run |= may_have_run
        if response.outcome is outcomes.Outcome.NOT_RUN:
            history.progress.may_have_run = may_have_run
        for service, level in response.levels:
            runtime.downstream_levels.update(
                service,
                call.route,
                level,
                runtime.scale,
                runtime.clock.now(),
            )
        if not _may_send_again(runtime, call, history, response):
            return response


def _is_shed(runtime: runtimes.Runtime, call: calls.Call) -> bool:
    """Returns whether a new request is refused before it is sent anywhere.

    A sub-call is not refused: the work done for its request would be lost.
    """
    if call.context.depth:
        return False
    found = runtime.admission_levels(call)
    if not levels.refuses(min(found.values()), call.context):
        return False
    request_shed(
        call.request_id,
        call.service,
        call.context.rank,
        lag_ms=int(runtime.processor.lag_s * 1000),
        **found,
    )
    return True


def _may_send_again(
    runtime: runtimes.Runtime,
    call: calls.Call,
    history: SendHistory,
    response: messages.CallResponse,
) -> bool:
    """Counts a failed send; returns whether to send the call again."""
    if response.outcome is outcomes.Outcome.RAN:
        return False
    now = runtime.clock.now()
    if call.context.deadline - now < _MIN_REMAINING_S:
        return False
    if response.outcome is outcomes.Outcome.NOT_RUN and (
        response.reason is not outcomes.Reason.TURNED_AWAY
    ):
        history.refusals += 1
        return history.refusals < _MAX_REFUSALS
    history.sends += 1
    if response.outcome is outcomes.Outcome.UNKNOWN and not call.is_idempotent:
        return False
    if history.sends >= call.max_targets:
        return False
    return runtime.retry_budget.take(call.service, now, call.stage)


def _choose(
    runtime: runtimes.Runtime, call: calls.Call, history: SendHistory
) -> targets.NodeEntry | None:
    own = runtime.entry
    is_own = (
        own.service == call.service
        and own.node_id not in history.tried
        and not runtime.evacuations.closes_own_zone
    )
    if (
        is_own
        and runtime.target.gate.load < 1.0
        and not (
            runtime.target.cold_start.rate_per_s and runtime.target.is_cold
        )
        and not runtime.target_tracker.is_ejected(own.node_id)
        and not _must_avoid(runtime, call, own.node_id)
    ):
        return own
    choice = _choose_in_zone(runtime, call.service, history.tried)
    if choice is None or _must_avoid(runtime, call, choice.node_id):
        others = _untried(runtime.fleet.serving(call.service), history.tried)
        sample = _sample(runtime, others, _WIDE_SAMPLE_SIZE)
        if is_own:
            sample = [*sample, own]
            runtime.target_tracker.record_cold(
                own.node_id, runtime.target.cold_s
            )
        candidates = balancers.prefer_warm(
            _candidates(runtime, sample), is_repeat=bool(history.tried)
        )
        if call.stage:
            candidates = balancers.least_rejecting(candidates)
        choice = runtime.balancer.choose(candidates)
    if choice is None:
        return None
    if choice.node_id == own.node_id:
        return own
    return runtime.fleet.get(choice.node_id)


def _must_avoid(
    runtime: runtimes.Runtime, call: calls.Call, node_id: str
) -> bool:
    """Returns whether a call goes to a target that rejects fewer, if any does.

    The first call of a request that is rejected fails little work; a later one
    fails all that was done for the calls before it.
    """
    return call.stage > 0 and runtime.target_tracker.is_rejecting(node_id)


def _choose_in_zone(
    runtime: runtimes.Runtime, service: str, tried: list[str]
) -> balancers.Candidate | None:
    """Chooses among a few targets of the zone, if one of them has room.

    Balancers prefer targets of the zone with room, so the others need not be
    looked at, and the cost does not grow with the service.
    """
    zone = runtime.settings.host.availability_zone
    near = _untried(runtime.fleet.serving(service, zone), tried)
    choice = runtime.balancer.choose(
        balancers.prefer_warm(
            _candidates(runtime, _sample(runtime, near, _SAMPLE_SIZE))
        )
    )
    if (
        choice is None
        or choice.ejected
        or choice.cold
        or choice.score >= choice.room
    ):
        return None
    return choice


def _untried(
    entries: list[targets.NodeEntry], tried: list[str]
) -> list[targets.NodeEntry]:
    if not tried:
        return entries
    return [entry for entry in entries if entry.node_id not in tried]


def _sample(
    runtime: runtimes.Runtime, entries: Sequence[targets.NodeEntry], size: int
) -> Sequence[targets.NodeEntry]:
    if len(entries) <= size and not runtime.balancer.uses_reports:
        return entries
    return runtime.balancer.sample(
        entries, size, runtime.target_tracker.abilities, runtime.clock.now()
    )


def _candidates(
    runtime: runtimes.Runtime, entries: Sequence[targets.NodeEntry]
) -> list[balancers.Candidate]:
    zone = runtime.settings.host.availability_zone
    is_cold_limited = bool(entries) and runtime.limits_cold(entries[0].service)
    return [
        runtime.target_tracker.make_candidate(
            entry.node_id,
            identity=(
                entry.incarnation,
                entry.target and entry.target.target_id,
            ),
            same_zone=entry.availability_zone == zone,
            slots=entry.target.capacity if entry.target else 1,
            cold_start_s=entry.target.cold_start_s if entry.target else 0.0,
            is_cold_limited=is_cold_limited,
            service=entry.target.service if entry.target else "",
        )
        for entry in entries
    ]


async def _send(
    runtime: runtimes.Runtime,
    call: calls.Call,
    entry: targets.NodeEntry,
    progress: progresses.Progress,
) -> messages.CallResponse:
    target_id = entry.target.target_id if entry.target else ""
    tracker = runtime.target_tracker
    if entry.node_id == runtime.settings.host.node_id:
        response = await local.serve(runtime, call, target_id, progress)
        tracker.record_response(
            entry.node_id, response, call.service, call.route
        )
        return response
    remaining_s = max(0.0, call.context.deadline - runtime.clock.now())
    request = call_messages.encode_call(
        call,
        target_id,
        remaining_s - min(_PEER_MARGIN_S, remaining_s / 4),
        tracker.usual_s(call.service, call.route)
        if runtime.balancer.uses_reports
        else 0.0,
    )
    tracked = tracker.started(entry.node_id)
    try:
        reply = await runtime.call_pools.exchange(
            entry.call_address,
            request,
            progress,
            call.context.deadline + _PEER_GRACE_S,
        )
        response = call_messages.to_response(reply, call.service)
        _learn_entry(runtime, entry.node_id, reply.entry)
    except errors.SassafrasError as error:
        if runtime.clock.now() >= call.context.deadline:
            return local.deadline_passed(progress)
        if not isinstance(error, errors.MemoryLimitError):
            tracker.record_failure(entry.node_id)
        return _failure(error)
    finally:
        tracker.finished(tracked)
    tracker.record_response(entry.node_id, response, call.service, call.route)
    return response


def _learn_entry(
    runtime: runtimes.Runtime,
    node_id: str,
    model: link_messages.NodeEntryModel | None,
) -> None:
    """Applies the entry in a refusal; a node speaks only for itself.

    The store spreads entries as well, but not during its outages.
    """
    if model is not None and model.node_id == node_id:
        runtime.fleet.update(link_messages.to_entry(model))


def _failure(error: errors.SassafrasError) -> messages.CallResponse:
    """Returns the response to a call that its peer did not answer."""
    if isinstance(error, errors.UnreachableError):
        return messages.refusal(outcomes.Reason.UNREACHABLE, 503, str(error))
    if isinstance(error, errors.MemoryLimitError):
        return messages.unknown(outcomes.Reason.MEMORY, 502, str(error))
    return messages.unknown(outcomes.Reason.CONNECTION_LOST, 502, str(error))
