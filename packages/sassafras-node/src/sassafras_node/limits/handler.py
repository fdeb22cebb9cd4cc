"""Handler of token requests from other nodes."""

from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models


@handlers.message_handlers.register("token_ask")
async def handle_token_ask(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Grants tokens and deducts them from this node's share."""
    del link
    assert isinstance(message, models.TokenRequestMessage)
    grant = runtime.limit_gate.grant_tokens(
        message.organisation, message.wanted
    )
    return converters.grant_to_message(message.number, grant)
