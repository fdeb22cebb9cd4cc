"""Targets that write a response twice, or bytes without end.

Operators reported requests that had run and whose callers were told that they
had not, after a target had repeated an earlier refusal on a kept connection.
"""

import enum

import pytest
import trio

from common import raw_targets
from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import client

pytestmark = pytest.mark.loopback

_BODY_LIMIT = 64 * 1024
_REFUSED = 503


class _Timing(enum.Enum):
    """When the target writes the copy of its first response."""

    SAME_SEGMENT = "with the first response"
    BEFORE_NEXT = "before the next request"
    AFTER_NEXT = "after the next request was sent"


def _encode(status, request_id, *extra):
    lines = [f"HTTP/1.1 {status} X", "content-length: 0", *extra]
    if request_id is not None:
        lines.append(f"request-id: {request_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _match(request_id):
    def match(response):
        response_id = response.header("request-id")
        if response_id is None:
            return client.Match.UNNAMED
        if response_id == request_id:
            return client.Match.OWN
        return client.Match.OTHER

    return match


async def _read_id(stream):
    """Returns the id in the next request, or None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = await stream.receive_some()
        if not received:
            return None
        data += received
    for line in data.decode().split("\r\n"):
        if line.startswith("request-id: "):
            return line.removeprefix("request-id: ")
    raise AssertionError("a request without an id")


async def _call(connections, request_id, body=b""):
    request = messages.Request(
        "POST", "/write/1", (("request-id", request_id),), body
    )
    return await connections.exchange(request, match=_match(request_id))


@pytest.mark.parametrize("timing", list(_Timing))
@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("status", [_REFUSED, 200])
async def test_a_repeated_response_is_not_taken_for_the_next_one(
    timing, is_named, status
):
    """Guards against "not run" for a request that ran (REFUSED, TWICE)."""
    executed = []

    async def serve(stream):
        first_id = await _read_id(stream)
        if first_id is None:
            return
        if executed or first_id == "second":
            executed.append(first_id)
            await stream.send_all(_encode(200, first_id))
            return
        marker = ("not-executed: 1",) if status == _REFUSED else ()
        response = _encode(status, first_id if is_named else None, *marker)
        copies = 2 if timing is _Timing.SAME_SEGMENT else 1
        await stream.send_all(response * copies)
        if timing is _Timing.BEFORE_NEXT:
            await trio.sleep(0.02)
            await stream.send_all(response)
        next_id = await _read_id(stream)
        if next_id is None:
            return
        if timing is _Timing.AFTER_NEXT:
            await stream.send_all(response)
        executed.append(next_id)
        await stream.send_all(_encode(200, next_id))

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        first = await _call(connections, "first")
        assert first.status == status
        await trio.sleep(0.05)
        second = await _call(connections, "second")
        assert second.status == 200
        assert second.header("request-id") == "second"
        assert executed == ["second"]


async def _repeat(stream, head, piece):
    await _read_id(stream)
    await stream.send_all(head)
    while True:
        await stream.send_all(piece * 64)


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        pytest.param(b"", b"abcdefgh", id="no response"),
        pytest.param(_OK + b"x: ", b"abcdefgh", id="header field"),
        pytest.param(_OK, b"a: b\r\n", id="header fields"),
        pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="interim"),
        pytest.param(_OK + b"\r\n", b"abcdefgh", id="body to the end"),
        pytest.param(
            _OK + b"content-length: 99999999\r\n\r\n",
            b"abcdefgh",
            id="long body",
        ),
        pytest.param(_CHUNKED, b"1\r\na\r\n", id="tiny chunks"),
        pytest.param(
            _CHUNKED,
            b"1;x=" + b"y" * 8000 + b"\r\na\r\n",
            id="chunk extensions",
        ),
        pytest.param(_CHUNKED + b"1;x=", b"abcdefgh", id="chunk extension"),
        pytest.param(_CHUNKED + b"0\r\n", b"a: b\r\n", id="trailers"),
    ],
)
async def test_a_response_without_end_is_a_protocol_error(head, piece):
    """Guards against a node that reads until its memory or time is used up.

    The target writes until the node closes the connection.
    """

    async def serve(stream):
        await _repeat(stream, head, piece)

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        with pytest.raises(errors.ProtocolError):
            await _call(connections, "first")


async def test_bytes_after_a_response_end_the_connection():
    """Guards against bytes without end after a complete response."""
    connections_seen = []

    async def serve(stream):
        connections_seen.append(stream)
        request_id = await _read_id(stream)
        await stream.send_all(_encode(200, request_id))
        while True:
            await stream.send_all(b"abcdefgh" * 64)

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        for request_id in ("first", "second"):
            response = await _call(connections, request_id)
            assert response.header("request-id") == request_id
            await trio.sleep(0.02)
        assert len(connections_seen) == 2


@pytest.mark.parametrize("reads_on", [True, False])
async def test_a_response_may_come_before_the_body_is_read(reads_on):
    """Guards against a deadlock, and foreign bytes in the rest of a body.

    The target answers after the head, and only then reads the body.
    """
    body = bytes(range(256)) * 16 * 1024
    received = []

    async def serve(stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive_some(4096)
        head, _, rest = data.partition(b"\r\n\r\n")
        request_id = "first" if b"first" in head else "second"
        await stream.send_all(_encode(200, request_id))
        if reads_on:
            while len(rest) < len(body):
                chunk = await stream.receive_some()
                if not chunk:
                    break
                rest += chunk
        received.append(rest)

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        for request_id in ("first", "second"):
            response = await _call(connections, request_id, body)
            assert response.header("request-id") == request_id
        await trio.sleep(0.05)
    for rest in received:
        assert body.startswith(rest)
