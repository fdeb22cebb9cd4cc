"""Requests that two parsers could read differently."""

import pytest
import trio
import trio.testing

from sassafras_platform import front_end
from sassafras_policy.calls import messages
from sassafras_wire.http import fields
from sassafras_wire.http import server


async def _receive(head, body=b""):
    ours, theirs = trio.testing.memory_stream_pair()
    connection = server.ServerConnection(ours, "caller", server.ServerLimits())
    await theirs.send_all(
        b"POST / HTTP/1.1\r\nhost: h\r\n" + head + b"\r\n" + body
    )
    async with trio.open_nursery() as nursery:
        assert await connection.await_request()
        try:
            await connection.receive()
        except server.RequestRefusedError as error:
            return error.status
        finally:
            nursery.cancel_scope.cancel()
    return None


@pytest.mark.parametrize(
    "head",
    [
        b"content-length: 5\r\ntransfer-encoding: chunked\r\n",
        b"transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        b"authorization: Bearer a\r\nauthorization: Bearer b\r\n",
    ],
)
async def test_an_ambiguous_request_is_refused(head):
    """Guards against a request that is smuggled inside another one."""
    smuggled = b"0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"
    assert await _receive(head, smuggled) == 400


@pytest.mark.parametrize(
    ("value", "duration_ms"),
    [("250", 250), ("0", 0), ("-1", 0), ("-", 9), ("x", 9), ("\u0663", 9)],
)
def test_a_negative_time_span_has_passed(value, duration_ms):
    """Guards against a request that runs after its deadline."""
    assert fields.duration_ms(value, 9) == duration_ms


def test_a_negative_deadline_of_a_caller_is_zero():
    """Guards against a negative deadline that is treated as missing."""
    entry = front_end.FrontEnd().read_request(
        messages.Request(
            "GET", "/", (("host", "h"), ("deadline-ms", "-5")), b""
        )
    )
    assert entry.caller_timeout_s == 0.0
