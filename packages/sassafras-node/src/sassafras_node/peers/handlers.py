"""Handlers of the messages that peers send on control links."""

from collections.abc import Awaitable
from collections.abc import Callable

from sassafras_base import errors
from sassafras_base import events
from sassafras_base import registry
from sassafras_node import runtime as runtimes
from sassafras_node.calls import idempotent
from sassafras_policy.configuration import document as documents
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.membership import rosters as roster_models
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

Handler = Callable[
    [runtimes.Runtime, links.Link, models.Message],
    Awaitable[models.Message | None],
]

CONFIGURATION = "configuration"
ROSTER = "roster"

message_handlers: registry.Registry[Handler] = registry.Registry(
    "peer message handler"
)


@events.declare(201, "WARNING")
def document_refused(peer: str, error: str) -> str:
    """A peer or the store offered a document that is not valid.

    The node keeps its active document. A peer of another version may be the
    cause.
    """
    return f"document from {peer} refused: {error}"


@events.declare(202, "INFO")
def configuration_in_force(revision: int, source: str) -> str:
    """A new configuration revision is active at this node."""
    return f"configuration revision {revision} from {source} is active"


@events.declare(410, "INFO")
def roster_in_force(epoch: int, members: int, source: str) -> str:
    """A new epoch of the roster is active at this node."""
    return f"roster epoch {epoch} of {members} nodes from {source} is active"


@message_handlers.register("heartbeat")
async def handle_heartbeat(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Merges a peer's changes and responds with this node's state."""
    assert isinstance(message, models.Heartbeat)
    if message.node_id != link.peer.node_id:
        raise errors.ProtocolError(
            "peer.heartbeat",
            link.peer.node_id,
            f"the heartbeat has the node id {message.node_id}",
        )
    runtime.outbox.merge(link, message.changes)
    runtime.last_seen.record(message.node_id, runtime.clock.now())
    return models.HeartbeatAck(
        node_id=runtime.table.own_id,
        config_revision=runtime.configuration.revision,
        roster_epoch=runtime.roster.current.epoch,
        changes=runtime.outbox.take(link),
    )


@message_handlers.register("document_fetch")
async def handle_document_fetch(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Sends the active document."""
    del link
    assert isinstance(message, models.DocumentFetch)
    return models.DocumentMessage(
        kind=message.kind, content=document_content(runtime, message.kind)
    )


@message_handlers.register("document")
async def handle_document(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Handles a document that a peer pushed."""
    assert isinstance(message, models.DocumentMessage)
    offer_document(runtime, message, link.address)
    return None


@message_handlers.register("record_claim")
async def handle_record_claim(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Hands an idempotency record over to the new home of its key."""
    del link
    assert isinstance(message, models.RecordClaim)
    return idempotent.handle_claim(runtime, message)


def document_content(runtime: runtimes.Runtime, kind: str) -> bytes:
    """Returns the encoded active document; empty when there is none."""
    if kind == ROSTER and runtime.roster.current.epoch:
        return roster_models.encode(runtime.roster.current)
    index = runtime.configuration.index
    if kind != CONFIGURATION or index is None:
        return b""
    return configuration_models.encode(index.document)


def offer_document(
    runtime: runtimes.Runtime, message: models.DocumentMessage, source: str
) -> None:
    """Activates a document if it is valid and newer."""
    if message.kind == ROSTER and message.content:
        _offer_roster(runtime, message.content, source)
    if message.kind != CONFIGURATION or not message.content:
        return
    try:
        document = configuration_models.decode(message.content, source)
    except errors.InvalidInputError as error:
        document_refused(source, str(error))
        return
    activate_configuration(runtime, document, source)


def activate_configuration(
    runtime: runtimes.Runtime, document: documents.Document, source: str
) -> None:
    """Activates a document if its revision is higher."""
    if runtime.configuration.offer(document):
        configuration_in_force(document.revision, source)


def _offer_roster(
    runtime: runtimes.Runtime, content: bytes, source: str
) -> None:
    try:
        roster = roster_models.decode(content, source)
    except errors.InvalidInputError as error:
        document_refused(source, str(error))
        return
    if runtime.roster.offer(roster):
        roster_in_force(roster.epoch, len(roster.members), source)
