"""Routes of targets: list, stop, start, progress of a drain."""

from collections.abc import Callable

import result

from sassafras_node import runtime as runtimes
from sassafras_node.admin import changes
from sassafras_node.admin import peer_status
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import edits
from sassafras_policy.membership import records
from sassafras_wire.administration import models
from sassafras_wire.settings import operators

_GONE = "gone"
_UNREACHABLE = "unreachable"


@routing.route("GET", "/targets", operators.Role.READ)
async def list_targets(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the announced targets of all nodes."""
    runtime = request.runtime
    found = [
        to_target_model(runtime, record)
        for record in runtime.table.all
        if record.target_address
    ]
    found.sort(key=lambda target: (target.service, target.address))
    return result.Ok(
        models.Targets(
            revision=runtime.configuration.revision, targets=tuple(found)
        )
    )


@routing.route(
    "POST", "/targets/stop", operators.Role.CHANGE, models.TargetRequest
)
async def stop(request: routing.OperatorRequest) -> replies.Reply:
    """Stops new calls to a target; its calls in flight continue."""
    assert isinstance(request.input, models.TargetRequest)
    address = request.input.address
    if _find(request.runtime, address) is None and not _is_stopped(
        request.runtime, address
    ):
        return _target_not_found(request.step, address)
    return await _commit(request, "targets-stop", edits.stop_target)


@routing.route(
    "POST", "/targets/start", operators.Role.CHANGE, models.TargetRequest
)
async def start(request: routing.OperatorRequest) -> replies.Reply:
    """Resumes new calls to a stopped target."""
    assert isinstance(request.input, models.TargetRequest)
    address = request.input.address
    if _find(request.runtime, address) is None and not _is_stopped(
        request.runtime, address
    ):
        return _target_not_found(request.step, address)
    return await _commit(request, "targets-start", edits.start_target)


@routing.route("GET", "/targets/drain", operators.Role.READ, models.TargetQuery)
async def get_drain(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the state of a target and its calls in flight."""
    assert isinstance(request.input, models.TargetQuery)
    address = request.input.address
    record = _find(request.runtime, address)
    if record is None:
        if _is_stopped(request.runtime, address):
            return result.Ok(
                models.Drain(address=address, state=_GONE, drained=True)
            )
        return _target_not_found(request.step, address)
    status = await peer_status.fetch(request.runtime, record.node_id)
    if status is None:
        return result.Ok(models.Drain(address=address, state=_UNREACHABLE))
    if status.target_address != address:
        return result.Ok(
            models.Drain(address=address, state=_GONE, drained=True)
        )
    return result.Ok(
        models.Drain(
            address=address,
            state=status.target_state,
            calls_in_flight=status.calls_in_flight,
            drained=status.target_state != records.TargetState.SERVING
            and status.calls_in_flight == 0,
        )
    )


def to_target_model(
    runtime: runtimes.Runtime, record: records.NodeRecord
) -> models.Target:
    """Returns the model of a node's local target."""
    return models.Target(
        address=record.target_address,
        service=record.service,
        node_id=record.node_id,
        availability_zone=record.availability_zone,
        state=_state(record),
        slots=record.slots,
        stopped=_is_stopped(runtime, record.target_address),
    )


def _state(record: records.NodeRecord) -> str:
    if record.status >= records.Status.DEAD:
        return _UNREACHABLE
    return str(record.target_state)


def _find(runtime: runtimes.Runtime, address: str) -> records.NodeRecord | None:
    """Returns the newest record of the node with a target at an address."""
    found = [r for r in runtime.table.all if r.target_address == address]
    # A replaced host may leave a dead record with the same address.
    return min(found, key=lambda r: (r.status, -r.incarnation), default=None)


def _is_stopped(runtime: runtimes.Runtime, address: str) -> bool:
    index = runtime.configuration.index
    return index is not None and address in index.document.stopped_targets


async def _commit(
    request: routing.OperatorRequest,
    action: str,
    edit_document: Callable[[documents.Document, str], edits.EditResult],
) -> replies.Reply:
    assert isinstance(request.input, models.TargetRequest)
    address = request.input.address

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        if stored is None:
            return _target_not_found(request.step, address)
        return edit_document(stored, address).map_err(
            lambda refused: replies.edit_refused(request.step, refused)
        )

    return await changes.commit(
        request.runtime,
        changes.Proposal(
            operator=request.operator,
            step=request.step,
            action=action,
            subject=address,
            note=request.input.note,
            edit=edit,
        ),
    )


def _target_not_found(step: str, address: str) -> result.Err[replies.Refusal]:
    return replies.refuse(
        replies.NOT_FOUND,
        step,
        "local",
        f"no target has announced itself as {address}",
        "list the targets; a target announces itself to the node beside it",
    )
