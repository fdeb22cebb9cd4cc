"""Answers other nodes' asks for tokens."""

from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models


@handlers.message_handlers.register("token_ask")
async def handle_token_ask(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Deducts tokens from the own share and grants them."""
    del link
    assert isinstance(message, models.TokenAsk)
    grant = runtime.limit_gate.give(message.organisation, message.wanted)
    return converters.grant_to_message(message.number, grant)
