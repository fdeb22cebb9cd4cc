"""The life of the control link to one neighbour: heartbeats and documents."""

from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers


async def run(runtime: runtimes.Runtime, node_id: str) -> None:
    """Connects to a neighbour and exchanges heartbeats until cancelled."""
    settings = runtime.settings.peers
    async with trio.open_nursery() as nursery:
        link = await links.open_link(nursery, node_id, runtime.credentials)
        try:
            while True:
                changed = runtime.changed
                with trio.fail_after(settings.dead_after_s):
                    await _beat(runtime, link)
                runtime.silence.heard(link.peer.node_id, runtime.clock.now())
                with trio.move_on_after(settings.heartbeat_interval_s):
                    await changed.wait()
        finally:
            with trio.CancelScope(shield=True):
                await link.abort()
            nursery.cancel_scope.cancel()


async def _beat(runtime: runtimes.Runtime, link: links.Link) -> None:
    await link.send(
        models.Heartbeat(
            node_id=runtime.table.own_id,
            config_revision=runtime.configuration.revision,
            roster_epoch=runtime.roster.current.epoch,
            changes=runtime.outbox.take(link),
        )
    )
    ack = await link.expect(models.HeartbeatAck)
    runtime.table.merge(
        converters.model_to_record(change) for change in ack.changes
    )
    await _level_documents(
        runtime,
        link,
        handlers.CONFIGURATION,
        ack.config_revision - runtime.configuration.revision,
    )
    await _level_documents(
        runtime,
        link,
        handlers.ROSTER,
        ack.roster_epoch - runtime.roster.current.epoch,
    )


async def _level_documents(
    runtime: runtimes.Runtime, link: links.Link, kind: str, lead: int
) -> None:
    """Fetches a document that the peer has newer, or sends the own one."""
    if lead > 0:
        await link.send(models.DocumentFetch(kind=kind))
        document = await link.expect(models.DocumentMessage)
        handlers.offer_document(runtime, document, link.address)
    elif lead < 0:
        await link.send(
            models.DocumentMessage(
                kind=kind, content=handlers.document_content(runtime, kind)
            )
        )
