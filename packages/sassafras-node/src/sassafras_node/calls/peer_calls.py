"""Serves calls that peers send to the local target."""

import functools

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import deadlines
from sassafras_node.calls import idempotent
from sassafras_node.calls import local
from sassafras_policy.calls import messages
from sassafras_wire.peer import models


async def handle_peer_call(
    runtime: runtimes.Runtime,
    message: models.Call,
    authority: contexts.RetryAuthority,
) -> messages.CallResponse:
    """Serves a call from a peer at the local target."""
    context = messages.CallContext(
        root_id=message.root_id,
        organisation=message.organisation,
        priority=message.priority,
        bucket=message.bucket,
        deadline=runtime.clock.now() + message.deadline_ms / 1000,
        depth=message.depth,
        at_most_once=message.at_most_once,
    )
    request = messages.Request(
        method=message.method,
        path=message.path,
        headers=tuple(message.headers),
        body=message.body,
    )
    call = contexts.ActiveCall(
        context=context,
        authority=authority,
        idempotency_scope=message.idempotency_key,
    )
    if call.idempotency_scope:
        return await idempotent.serve(runtime, request, call)
    return await deadlines.serve_within_deadline(
        runtime, call, functools.partial(local.serve, runtime, request, call)
    )
