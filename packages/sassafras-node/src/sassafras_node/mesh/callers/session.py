"""Serves one connection of a caller or of the local target."""

import functools

from sassafras_node import http_session
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.calls import entry
from sassafras_wire.http import sockets


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves requests until the caller disconnects."""
    memory = runtime.response_budget.open()
    await http_session.serve(
        runtime,
        stream,
        peer,
        functools.partial(entry.serve, runtime, memory=memory),
        format_headers=runtime.platform.front_end.response_headers,
        memory=memory,
        group=runtime.connections.callers,
    )
