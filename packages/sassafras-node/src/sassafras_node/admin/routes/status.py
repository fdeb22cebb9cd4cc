"""Route of the state of the node that serves the request."""

import result

from sassafras_node import runtime as runtimes
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.admin.routes import targets
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import document as documents
from sassafras_wire.administration import models
from sassafras_wire.settings import operators


@routing.route("GET", "/status", operators.Role.READ)
async def get_status(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the state of this node, its limits and its refusals."""
    runtime = request.runtime
    own = runtime.table.own
    index = runtime.configuration.index
    organisations = index.document.organisations if index else ()
    return result.Ok(
        models.Status(
            node_id=own.node_id,
            availability_zone=own.availability_zone,
            incarnation=own.incarnation,
            revision=runtime.configuration.revision,
            roster_epoch=runtime.roster.current.epoch,
            draining=runtime.drain.is_draining,
            peers=len(runtime.table.peers),
            calls_in_flight=runtime.drain.in_flight,
            target=targets.to_target_model(runtime, own)
            if own.target_address
            else None,
            target_calls_in_flight=runtime.contexts.count,
            target_load=runtime.target.gate.load,
            target_limit=runtime.target.gate.limit,
            store_calls=runtime.store.calls,
            open_level=_open_level(runtime),
            levels=_levels(runtime),
            limits=tuple(
                _limit(runtime, organisation) for organisation in organisations
            ),
            refusals=_refusals(runtime),
        )
    )


def _limit(
    runtime: runtimes.Runtime, organisation: documents.Organisation
) -> models.Limit:
    share = runtime.limiter.share(
        organisation.name, runtime.clock.now_with_suspend()
    )
    return models.Limit(
        organisation=organisation.name,
        rate_per_s=organisation.rate_per_s,
        burst=organisation.burst,
        node_rate_per_s=share.rate_per_s,
        node_tokens=share.held,
    )


def _open_level(runtime: runtimes.Runtime) -> int:
    index = runtime.configuration.index
    return index.scale.open_level if index else 0


def _levels(runtime: runtimes.Runtime) -> dict[str, int]:
    """Returns the admission level of each service as this node holds it."""
    index = runtime.configuration.index
    if index is None:
        return {}
    now = runtime.clock.now()
    by_service = {
        service.name: int(
            runtime.service_levels.value(service.name, index.scale, now)
        )
        for service in index.document.services
    }
    own = runtime.target.announcement
    if own is not None and own.service in by_service:
        by_service[own.service] = runtime.target.gate.level
    return by_service


def _refusals(runtime: runtimes.Runtime) -> dict[str, int]:
    """Returns the root requests that did not run, by reason."""
    counts: dict[str, int] = {}
    for (_, outcome, reason), count in runtime.recorder.outcome_counts.items():
        if outcome == outcomes.Outcome.NOT_RUN:
            counts[reason] = counts.get(reason, 0) + count
    return counts
