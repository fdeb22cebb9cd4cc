"""Serves connections from the local target."""

from sassafras_node import http_session
from sassafras_node import runtime as runtimes
from sassafras_node.calls import entry
from sassafras_node.targets import announcements
from sassafras_policy.calls import messages
from sassafras_wire.http import sockets


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves announcements and sub-calls until the target disconnects."""

    async def handle(request: messages.Request) -> messages.CallResponse:
        if request.path == announcements.PATH and request.method == "PUT":
            return await announcements.handle(runtime, request)
        return await entry.handle_sub_call(runtime, request)

    await http_session.serve(runtime, stream, peer, handle)
