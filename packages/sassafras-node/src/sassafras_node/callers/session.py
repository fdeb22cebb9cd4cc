"""Serves connections from callers."""

from sassafras_node import http_session
from sassafras_node import runtime as runtimes
from sassafras_node.calls import entry
from sassafras_node.reports import recorder
from sassafras_policy.calls import messages
from sassafras_wire.http import fields
from sassafras_wire.http import sockets


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves requests until the caller disconnects."""

    async def handle(request: messages.Request) -> messages.CallResponse:
        started = runtime.clock.now()
        response = await entry.handle_root(runtime, request)
        runtime.recorder.record(
            _series_key(runtime, request),
            response,
            runtime.clock.now() - started,
        )
        return response

    await http_session.serve(runtime, stream, peer, handle)


def _series_key(
    runtime: runtimes.Runtime, request: messages.Request
) -> recorder.SeriesKey:
    index = runtime.configuration.index
    key = fields.bearer_key(request.headers)
    organisation = index.find_organisation(key) if index and key else None
    # Callers choose the path, so only configured services get a series, which
    # bounds the number of series.
    known = index is not None and index.has_service(request.service)
    return recorder.SeriesKey(
        service=request.service if known else "",
        organisation=organisation.name if organisation else "",
    )
