"""The life of one connection from a caller."""

from sassafras_policy.calls import messages
import trio

from sassafras_node import http_session
from sassafras_node import runtime as runtimes
from sassafras_node.calls import entry


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Serves requests until the caller disconnects."""

    async def handle(request: messages.Request) -> messages.Answer:
        return await entry.handle_root(runtime, request)

    await http_session.serve(runtime, stream, peer, handle)
