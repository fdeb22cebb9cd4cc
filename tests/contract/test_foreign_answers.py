"""Responses of a server that belong to another request or to none."""

import pytest
import trio
import trio.testing

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import client

_REQUEST = messages.Request("GET", "/", (("host", "h"),), b"")


def _response(request_id, body=b"x", more=b""):
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: %d\r\n%s\r\n%s"
        % (request_id, len(body), more, body)
    )


def _match(response):
    if ("request-id", "mine") in response.headers:
        return client.Match.OWN
    return client.Match.OTHER


async def _exchange(*parts, end=False):
    ours, theirs = trio.testing.memory_stream_pair()
    connection = client.ClientConnection(ours, "server", "test.call", 4096)

    async def serve():
        await theirs.receive_some(4096)
        for part in parts:
            await theirs.send_all(part)
        if end:
            await theirs.send_eof()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        response = await connection.exchange(_REQUEST, None, _match)
    return connection, response


@pytest.mark.parametrize("together", [True, False])
async def test_a_late_response_to_another_request_is_skipped(together):
    """Guards against a response that reaches another caller."""
    parts = [_response(b"other", b"theirs"), _response(b"mine", b"ours")]
    if together:
        parts = [b"".join(parts)]
    connection, response = await _exchange(*parts)
    assert response.body == b"ours"
    # A server that repeats responses may repeat this one as well.
    assert not connection.is_reusable


async def test_a_connection_with_bytes_after_the_response_is_not_reused():
    """Guards against a second response that the next request would get."""
    connection, response = await _exchange(
        _response(b"mine", b"ours") + _response(b"mine", b"again")
    )
    assert response.body == b"ours"
    assert not connection.is_reusable


async def test_a_series_of_foreign_responses_is_an_error():
    """Guards against a node that reads from a faulty server forever."""
    with pytest.raises(BaseExceptionGroup) as caught:
        await _exchange(*[_response(b"other")] * 8)
    assert caught.group_contains(errors.ProtocolError)


async def test_a_response_without_a_length_ends_with_its_connection():
    """Guards against complete responses that are rejected as truncated."""
    _, response = await _exchange(
        b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\n\r\nwhole", end=True
    )
    assert response.body == b"whole"


async def test_an_idle_connection_expires_before_the_server_closes_it():
    """Guards against requests that are lost with a closing connection."""
    connection, _ = await _exchange(
        _response(b"mine", more=b"keep-alive: timeout=5\r\n")
    )
    assert connection._reuse_until <= trio.current_time() + 4.0
