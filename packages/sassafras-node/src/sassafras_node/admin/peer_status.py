"""Fetches the state of other nodes for requests of operators.

The state is not part of the membership records, as each change of a revision
would then be sent from every node to every other.
"""

from collections.abc import Iterable

import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# Limits the links that one request of an operator opens at once.
_MAX_LINKS = 16
_TIMEOUT_S = 2.0


@handlers.message_handlers.register("status_fetch")
async def handle_status_fetch(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Responds with the state of this node."""
    del link, message
    return own_status(runtime)


def own_status(runtime: runtimes.Runtime) -> models.StatusMessage:
    """Returns the state of this node and its local target."""
    record = runtime.table.own
    return models.StatusMessage(
        node_id=record.node_id,
        incarnation=record.incarnation,
        config_revision=runtime.configuration.revision,
        roster_epoch=runtime.roster.current.epoch,
        target_address=record.target_address,
        target_state=str(record.target_state),
        calls_in_flight=runtime.contexts.count,
    )


async def fetch(
    runtime: runtimes.Runtime, node_id: str
) -> models.StatusMessage | None:
    """Returns the state of a node, or None when it does not respond."""
    if node_id == runtime.table.own_id:
        return own_status(runtime)
    status: models.StatusMessage | None = None
    with trio.move_on_after(_TIMEOUT_S):
        try:
            async with trio.open_nursery() as nursery:
                link = await links.open_link(
                    nursery, node_id, runtime.credentials
                )
                try:
                    await link.send(models.StatusFetch())
                    status = await link.expect(models.StatusMessage)
                finally:
                    with trio.CancelScope(shield=True):
                        await link.abort()
                    nursery.cancel_scope.cancel()
        except* errors.SassafrasError:
            status = None
    return status


async def fetch_all(
    runtime: runtimes.Runtime, node_ids: Iterable[str]
) -> dict[str, models.StatusMessage]:
    """Returns the states of the nodes that respond, by node id."""
    statuses: dict[str, models.StatusMessage] = {}
    limiter = trio.CapacityLimiter(_MAX_LINKS)

    async def fetch_one(node_id: str) -> None:
        async with limiter:
            status = await fetch(runtime, node_id)
        if status is not None:
            statuses[node_id] = status

    async with trio.open_nursery() as nursery:
        for node_id in node_ids:
            nursery.start_soon(fetch_one, node_id)
    return statuses
