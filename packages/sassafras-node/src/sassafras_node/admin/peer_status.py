"""Asks other nodes for their state, at an operator's request.

The state is not part of the membership records: each change of a revision
would then travel from every node to every other.
"""

from collections.abc import Iterable

import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# Bounds the links that one request of an operator opens at a time.
_ASKED_AT_ONCE = 16
_TIMEOUT_S = 2.0


@handlers.message_handlers.register("status_fetch")
async def handle_status_fetch(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Answers with this node's own state."""
    del link, message
    return own(runtime)


def own(runtime: runtimes.Runtime) -> models.StatusMessage:
    """Returns the state of this node and of the target beside it."""
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


async def ask(
    runtime: runtimes.Runtime, node_id: str
) -> models.StatusMessage | None:
    """Returns the state of a node, or None when it does not answer."""
    if node_id == runtime.table.own_id:
        return own(runtime)
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


async def ask_all(
    runtime: runtimes.Runtime, node_ids: Iterable[str]
) -> dict[str, models.StatusMessage]:
    """Returns the states of the nodes that answer, by id."""
    found: dict[str, models.StatusMessage] = {}
    limiter = trio.CapacityLimiter(_ASKED_AT_ONCE)

    async def ask_one(node_id: str) -> None:
        async with limiter:
            status = await ask(runtime, node_id)
        if status is not None:
            found[node_id] = status

    async with trio.open_nursery() as nursery:
        for node_id in node_ids:
            nursery.start_soon(ask_one, node_id)
    return found
