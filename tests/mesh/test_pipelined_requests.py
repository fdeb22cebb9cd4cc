"""Requests that a client sends before the response to the first has arrived."""

import contextlib
import dataclasses

import h11
import pytest
import trio

from common import mesh_fleet
from sassafras_wire.http import client

pytestmark = pytest.mark.loopback


def _request(request_id, path="/read/1", *extra):
    return "\r\n".join(
        [
            f"GET {path} HTTP/1.1",
            f"host: {mesh_fleet.HOST}",
            f"request-id: {request_id}",
            "deadline-ms: 5000",
            f"authorization: Bearer {mesh_fleet.KEY}",
            *extra,
            "",
            "",
        ]
    ).encode()


class _Client:
    """Sends bytes as they are and reads responses."""

    def __init__(self, stream):
        self._stream = stream
        self._connection = None
        self._rest = b""

    async def send(self, data):
        await self._stream.send_all(data)

    async def receive(self):
        """Returns status, request id and `Connection` field, or None."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")])
        )
        connection.send(h11.EndOfMessage())
        if self._rest:
            connection.receive_data(self._rest)
        head = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some()
                if not data and head is None:
                    return None
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.EndOfMessage):
                self._rest = connection.trailing_data[0]
                headers = dict(head.headers)
                return (
                    head.status_code,
                    headers.get(b"request-id", b"").decode(),
                    headers.get(b"connection", b"").decode(),
                )
            elif isinstance(event, h11.ConnectionClosed):
                return None


@contextlib.asynccontextmanager
async def _running(tmp_path, body_bytes=None, **changes):
    """Yields a fleet of one machine and a client of its node."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one", **changes)
        await fleet.wait_until_settled()
        if body_bytes is not None:
            node = fleet.nodes["one"]
            node.http_limits = dataclasses.replace(
                node.http_limits, body_bytes=body_bytes
            )
        host, port = client.split_address(
            fleet.machines["one"].address("Outbound")
        )
        stream = await trio.open_tcp_stream(host, port)
        with trio.fail_after(10):
            yield fleet, _Client(stream)
        await trio.aclose_forcefully(stream)


async def test_responses_have_the_order_of_the_requests(tmp_path):
    """Guards against a response that reaches another request."""
    async with _running(tmp_path) as (_, caller):
        await caller.send(b"".join(_request(f"r{n}") for n in range(3)))
        for number in range(3):
            assert await caller.receive() == (200, f"r{number}", "")


async def test_a_head_may_be_split_between_segments(tmp_path):
    """Guards against a request that is lost where the input is cut."""
    data = b"".join(_request(f"r{n}") for n in range(2))
    for cut in (10, len(data) // 2 - 2, len(data) // 2 + 3, len(data) - 1):
        async with _running(tmp_path) as (_, caller):
            await caller.send(data[:cut])
            await trio.sleep(0.05)
            await caller.send(data[cut:])
            for number in range(2):
                assert await caller.receive() == (200, f"r{number}", "")


async def test_a_bad_request_does_not_take_the_one_before_it_along(tmp_path):
    """Guards against a good request that is cut off by what follows it."""
    async with _running(tmp_path) as (fleet, caller):
        await caller.send(
            _request("r0") + b"no request\r\n\r\n" + _request("r2")
        )
        assert await caller.receive() == (200, "r0", "")
        status, _, connection = await caller.receive()
        assert (status, connection) == (400, "close")
        assert await caller.receive() is None
        assert fleet.executions("r2") == 0


async def test_nothing_behind_a_closing_response_is_passed_on(tmp_path):
    """Guards against a second run: clients send such requests again."""
    async with _running(tmp_path) as (fleet, caller):
        await caller.send(
            _request("r0", "/read/1", "connection: close") + _request("r1")
        )
        assert await caller.receive() == (200, "r0", "close")
        assert await caller.receive() is None
        assert fleet.executions("r1") == 0


async def test_a_planned_stop_ends_a_pipeline_after_a_whole_response(tmp_path):
    """Guards against responses that a reset of the connection destroys.

    The client goes on sending until it has read that the connection closes.
    """
    async with _running(tmp_path, work_s=0.3) as (fleet, caller):
        await caller.send(_request("r0") + _request("r1"))
        await trio.sleep(0.1)
        fleet.nodes["one"].drain.requested.set()
        await caller.send(_request("r2"))
        await trio.sleep(0.4)
        assert await caller.receive() == (200, "r0", "close")
        assert await caller.receive() is None
        assert fleet.executions("r0") == 1
        for request_id in ("r1", "r2"):
            assert fleet.executions(request_id) == 0


async def test_a_refused_body_does_not_reset_the_connection(tmp_path):
    """Guards against a 413 that the client never gets to read."""
    limit = 64 * 1024
    async with _running(tmp_path, body_bytes=limit) as (fleet, caller):
        body = b"x" * 4096
        await caller.send(
            _request("r0", "/write/1", "transfer-encoding: chunked").replace(
                b"GET", b"POST", 1
            )
        )
        for _ in range(2 * limit // len(body)):
            await caller.send(b"%x\r\n%s\r\n" % (len(body), body))
        await trio.sleep(0.1)
        status, _, connection = await caller.receive()
        assert (status, connection) == (413, "close")
        assert fleet.executions("r0") == 0


async def test_an_announced_body_over_the_limit_is_refused_unread(tmp_path):
    """Guards against memory that is used for a body that is refused."""
    async with _running(tmp_path, body_bytes=1000) as (fleet, caller):
        await caller.send(
            _request("r0", "/write/1", "content-length: 1001").replace(
                b"GET", b"POST", 1
            )
        )
        status, _, connection = await caller.receive()
        assert (status, connection) == (413, "close")
        assert fleet.executions("r0") == 0


async def test_a_client_that_leaves_its_pipeline_ends_the_work(tmp_path):
    """Guards against work for a client that left while more input waited."""
    async with _running(tmp_path, work_s=2.0) as (fleet, caller):
        await caller.send(b"".join(_request(f"r{n}") for n in range(3)))
        await trio.sleep(0.2)
        await trio.aclose_forcefully(caller._stream)
        await trio.sleep(0.6)
        assert fleet.nodes["one"].drain.in_flight == 0
        assert fleet.executions("r1") == 0
