"""Control link to one neighbour: heartbeats and documents."""

import trio

from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# Collects bursts of changes, such as a new revision in the records of all
# nodes, into one message. The delay is paid at each of about 10 hops at most.
_BATCH_S = 0.02


async def run(runtime: runtimes.Runtime, node_id: str) -> None:
    """Connects to a neighbour and exchanges heartbeats until cancelled."""
    settings = runtime.settings.peers
    async with trio.open_nursery() as nursery:
        link = await links.open_link(nursery, node_id, runtime.credentials)
        try:
            while True:
                with trio.fail_after(settings.dead_after_s):
                    await exchange(runtime, link)
                runtime.last_seen.record(link.peer.node_id, runtime.clock.now())
                with trio.move_on_after(settings.heartbeat_interval_s):
                    await _wait_for_update(runtime, link)
        finally:
            with trio.CancelScope(shield=True):
                await link.abort()
            nursery.cancel_scope.cancel()


async def exchange(runtime: runtimes.Runtime, link: links.Link) -> None:
    """Exchanges all pending changes and documents that one side has newer."""
    ack = await _send_heartbeat(runtime, link)
    while runtime.outbox.has_more(link):
        ack = await _send_heartbeat(runtime, link)
    await _exchange_documents(runtime, link, ack)


async def _wait_for_update(runtime: runtimes.Runtime, link: links.Link) -> None:
    """Waits for an update that must reach the neighbour at once."""
    document_revisions = link.document_revisions
    while (
        not runtime.outbox.has_urgent(link)
        and runtime.configuration.revision
        <= document_revisions.get(handlers.CONFIGURATION, 0)
        and runtime.roster.current.epoch
        <= document_revisions.get(handlers.ROSTER, 0)
    ):
        await runtime.changed.wait()
    await trio.sleep(_BATCH_S)


async def _send_heartbeat(
    runtime: runtimes.Runtime, link: links.Link
) -> models.HeartbeatAck:
    await link.send(
        models.Heartbeat(
            node_id=runtime.table.own_id,
            config_revision=runtime.configuration.revision,
            roster_epoch=runtime.roster.current.epoch,
            changes=runtime.outbox.take(link),
        )
    )
    ack = await link.expect(models.HeartbeatAck)
    runtime.outbox.merge(link, ack.changes)
    return ack


async def _exchange_documents(
    runtime: runtimes.Runtime, link: links.Link, ack: models.HeartbeatAck
) -> None:
    await _exchange_document(
        runtime,
        link,
        handlers.CONFIGURATION,
        runtime.configuration.revision,
        ack.config_revision,
    )
    await _exchange_document(
        runtime,
        link,
        handlers.ROSTER,
        runtime.roster.current.epoch,
        ack.roster_epoch,
    )


async def _exchange_document(
    runtime: runtimes.Runtime,
    link: links.Link,
    kind: str,
    own_number: int,
    peer_number: int,
) -> None:
    """Fetches a document if the peer's is newer, or sends this node's."""
    exchanged = link.document_revisions.get(kind, 0)
    # Keeps a document that one side refuses from being sent again with each
    # heartbeat.
    link.document_revisions[kind] = max(exchanged, own_number, peer_number)
    if peer_number > max(own_number, exchanged):
        await link.send(models.DocumentFetch(kind=kind))
        document = await link.expect(models.DocumentMessage)
        handlers.offer_document(runtime, document, link.address)
    elif own_number > max(peer_number, exchanged):
        await link.send(
            models.DocumentMessage(
                kind=kind, content=handlers.document_content(runtime, kind)
            )
        )
