"""Targets that end in the middle of a response, in its head or its body.

Operators reported responses with status 200 and an empty or short body, framed
as whole, after an endpoint had stopped in the middle of the head.
"""

import os
import socket
import struct

import pytest
import trio

from common import raw_targets
from sassafras_base import errors
from sassafras_policy.calls import messages

pytestmark = pytest.mark.loopback

_BODY = b"0123456789abcdef"
_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-signature: s\r\n"
_WITH_LENGTH = _HEAD + b"content-length: 16\r\n\r\n" + _BODY
_CHUNKED = (
    _HEAD
    + b"transfer-encoding: chunked\r\n\r\n8\r\n01234567\r\n8\r\n89abcdef\r\n"
    + b"0\r\n\r\n"
)
_WITHOUT_LENGTH = _HEAD + b"connection: close\r\n\r\n" + _BODY
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + _WITH_LENGTH
_BODY_LIMIT = 16 * 1024 * 1024
# More than the buffers of a loopback connection hold.
_LONG_REQUEST = b"x" * (8 * 1024 * 1024)


def _reset(stream):
    """Makes the close of a connection a reset."""
    sock = socket.socket(fileno=os.dup(stream.fileno()))
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


def _request(body=b""):
    return messages.Request("POST", "/", (("request-id", "r-1"),), body)


async def _read_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some()


async def _expect_losses(whole, cuts, reset):
    """Exchanges one request for each number of bytes that the target sends."""
    left = iter(range(cuts))

    async def serve(stream):
        cut = next(left)
        await _read_head(stream)
        if cut:
            await stream.send_all(whole[:cut])
        if reset:
            _reset(stream)

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        for _ in range(cuts):
            with pytest.raises(errors.ConnectionLostError):
                await connections.exchange(_request())


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
@pytest.mark.parametrize(
    "whole", [_WITH_LENGTH, _CHUNKED, _INTERIM], ids=["length", "chunks", "100"]
)
async def test_a_response_cut_at_any_byte_is_lost(whole, reset):
    """Guards against a cut response that looks complete."""
    await _expect_losses(whole, len(whole), reset)


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
async def test_a_head_without_a_length_cut_at_any_byte_is_lost(reset):
    """Guards against a cut head that is taken for one without a body."""
    head_bytes = _WITHOUT_LENGTH.index(b"\r\n\r\n") + len(b"\r\n\r\n")
    await _expect_losses(_WITHOUT_LENGTH, head_bytes, reset)


@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.02, 0.05])
@pytest.mark.parametrize("sent", [0, 1, len(_BODY)])
async def test_a_reset_while_a_request_is_sent_is_no_end(sent, delay_s):
    """Guards against a reset that only the sending side is told about.

    The kernel reports a reset to one system call. A read after it finds an
    ordinary end, and a response without a length looked whole.
    """
    length = len(_WITHOUT_LENGTH) - len(_BODY) + sent

    async def serve(stream):
        await _read_head(stream)
        await stream.send_all(_WITHOUT_LENGTH[:length])
        await trio.sleep(delay_s)
        _reset(stream)

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        for _ in range(25):
            with pytest.raises(errors.ConnectionLostError):
                await connections.exchange(_request(_LONG_REQUEST))


async def test_an_early_response_that_ends_in_order_is_whole():
    """Guards against a whole response that is lost with an unread request."""

    async def serve(stream):
        await _read_head(stream)
        await stream.send_all(_WITHOUT_LENGTH)
        await stream.close_gracefully()

    async with raw_targets.running(serve, _BODY_LIMIT) as connections:
        for _ in range(25):
            response = await connections.exchange(_request(_LONG_REQUEST))
            assert response.body == _BODY
