"""Routes of nodes: list, forget."""

import result
import trio

from sassafras_node.admin import changes
from sassafras_node.admin import peer_status
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.membership import roster
from sassafras_node.store import audit
from sassafras_policy.membership import records
from sassafras_wire.administration import models
from sassafras_wire.peer import models as peer_models
from sassafras_wire.settings import operators
from sassafras_wire.store import client as store_client

_ACTION = "nodes-forget"


@routing.route("GET", "/nodes", operators.Role.READ)
async def list_nodes(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the known nodes, with the revision that each one reports."""
    runtime = request.runtime
    known_nodes = sorted(runtime.table.all, key=lambda record: record.node_id)
    statuses = await peer_status.fetch_all(
        runtime,
        [r.node_id for r in known_nodes if r.status <= records.Status.SUSPECT],
    )
    members = set(runtime.roster.current.node_ids)
    nodes = [
        _to_node_model(record, statuses.get(record.node_id), members)
        for record in known_nodes
    ]
    # A node that was lost before this one started is only in the roster.
    nodes.extend(
        models.Node(
            node_id=member.node_id,
            availability_zone="",
            status="unknown",
            incarnation=0,
            service=member.service,
            in_roster=True,
        )
        for member in runtime.roster.current.members
        if runtime.table.get(member.node_id) is None
    )
    return result.Ok(
        models.Nodes(
            revision=runtime.configuration.revision,
            roster_epoch=runtime.roster.current.epoch,
            nodes=tuple(nodes),
        )
    )


@routing.route(
    "POST", "/nodes/forget", operators.Role.CHANGE, models.ForgetRequest
)
async def forget(request: routing.OperatorRequest) -> replies.Reply:
    """Removes a lost node from the roster.

    The operator thereby asserts that its host is gone for good.
    """
    reply: replies.Reply | None = None
    with trio.CancelScope(shield=True):
        reply = await _forget(request)
    assert reply is not None
    return reply


async def _forget(request: routing.OperatorRequest) -> replies.Reply:
    assert isinstance(request.input, models.ForgetRequest)
    runtime = request.runtime
    node_id = request.input.node_id
    try:
        record = await audit.begin(
            runtime, request.operator, _ACTION, node_id, request.input.note, 0
        )
    except (
        store_client.StoreUnavailableError,
        store_client.StoreRefusedError,
    ) as error:
        return result.Err(replies.not_stored(request.step, str(error)))
    reply = await _attempt(request, node_id)
    outcome = models.WriteOutcome.REFUSED
    epoch = 0
    if isinstance(reply, result.Ok):
        outcome, epoch = reply.ok_value.outcome, reply.ok_value.revision
    elif reply.err_value.problem.outcome is not None:
        outcome = reply.err_value.problem.outcome
    await audit.finish(runtime, record, outcome, epoch)
    changes.operator_change(
        request.operator, _ACTION, node_id, str(outcome), epoch
    )
    return reply


async def _attempt(
    request: routing.OperatorRequest, node_id: str
) -> result.Result[models.Change, replies.Refusal]:
    runtime = request.runtime
    before = runtime.roster.current.epoch
    try:
        forgotten = await roster.forget(runtime, node_id)
    except store_client.StoreUnreachableError as error:
        return result.Err(replies.not_stored(request.step, str(error)))
    except store_client.StoreUnavailableError as error:
        return result.Err(_unknown(request.step, str(error)))
    except store_client.StoreRefusedError as error:
        return result.Err(replies.not_stored(request.step, str(error)))
    epoch = runtime.roster.current.epoch
    match forgotten:
        case roster.ForgetResult.DONE:
            outcome = models.WriteOutcome.WRITTEN
            if epoch == before:
                outcome = models.WriteOutcome.UNCHANGED
            return result.Ok(models.Change(outcome=outcome, revision=epoch))
        case roster.ForgetResult.NOT_A_MEMBER:
            return replies.refuse(
                replies.NOT_FOUND,
                request.step,
                "store",
                f"the roster has no node {node_id}",
                "list the nodes; only those in the roster can be forgotten",
            )
        case roster.ForgetResult.IS_ALIVE:
            return replies.refuse(
                replies.REFUSED,
                request.step,
                node_id,
                f"node {node_id} is alive",
                "stop it first; a node that runs on would keep its old share",
            )
        case roster.ForgetResult.CONFLICT:
            return result.Err(
                replies.Refusal(
                    replies.CONFLICT,
                    models.Problem(
                        step=request.step,
                        peer="store",
                        problem="the roster kept changing; nothing was changed",
                        advice="try again",
                        outcome=models.WriteOutcome.CONFLICT,
                        revision=epoch,
                    ),
                )
            )


def _unknown(step: str, problem: str) -> replies.Refusal:
    return replies.Refusal(
        replies.UNKNOWN,
        models.Problem(
            step=step,
            peer="store",
            problem=f"outcome unknown: {problem}",
            advice="repeat the request; that is harmless",
            outcome=models.WriteOutcome.UNKNOWN,
        ),
    )


def _to_node_model(
    record: records.NodeRecord,
    status: peer_models.StatusMessage | None,
    members: set[str],
) -> models.Node:
    return models.Node(
        node_id=record.node_id,
        availability_zone=record.availability_zone,
        status=record.status.name.lower(),
        incarnation=record.incarnation,
        service=record.service,
        target_state=str(record.target_state),
        revision=status.config_revision if status else None,
        roster_epoch=status.roster_epoch if status else None,
        in_roster=record.node_id in members,
    )
