"""Invalid input on any port gets an error response or ends the connection."""

import contextlib
import secrets

import cbor2
import loguru
import pytest
import trio
from websockets.trio import client as trio_client

from common import nodes
from common import waiting
from sassafras_base import errors
from sassafras_node.peers import handlers
from sassafras_standins.fleet import samples
from sassafras_wire.http import client as http_client
from sassafras_wire.peer import authentication
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

pytestmark = pytest.mark.loopback

_RESPONSE_TIMEOUT_S = 5.0
_KEY_HEADER = f"Authorization: Bearer {samples.NATIONAL_KEY}\r\n".encode()


@contextlib.asynccontextmanager
async def _node():
    """Yields a node of a fleet of two, and the log lines of both nodes."""
    lines = []
    sink = loguru.logger.add(lines.append, level="DEBUG", format="{message}")
    try:
        async with nodes.fleet(2) as fleet:
            for host in fleet.hosts:
                handlers.activate_configuration(
                    host.runtime, samples.document(), "test"
                )

            async def alive():
                return fleet.sees_all_alive()

            await waiting.until(alive, "the nodes see each other alive")
            yield fleet.hosts[0], lines
            assert await _still_serves(fleet.hosts[0])
            for node, peer in (fleet.hosts, fleet.hosts[::-1]):
                assert peer.record_of(node.node_id).status == 0
            failures = [line for line in lines if line.startswith("E0101")]
            assert failures == []
            assert not any(samples.NATIONAL_KEY in line for line in lines)
    finally:
        loguru.logger.remove(sink)


async def _still_serves(host):
    connection = await http_client.ClientConnection.connect(
        host.settings.host.caller_address, "test", 10_000, 1.0
    )
    with trio.fail_after(_RESPONSE_TIMEOUT_S):
        response = await connection.exchange(
            http_client.messages.Request("GET", "/desk/open", (), b"")
        )
    await connection.close()
    # There is no target, so a working node rejects the request.
    return response.status == 503


async def _send(address, data, *, half_close=False):
    """Sends bytes and returns all received bytes up to the end."""
    host, port = http_client.split_address(address)
    stream = await trio.open_tcp_stream(host, port)
    response = b""
    with trio.move_on_after(_RESPONSE_TIMEOUT_S) as scope:
        try:
            await stream.send_all(data)
            if half_close:
                await stream.send_eof()
            while True:
                chunk = await stream.receive_some(65536)
                if not chunk:
                    break
                response += chunk
        except trio.BrokenResourceError:
            pass
    await trio.aclose_forcefully(stream)
    assert not scope.cancelled_caught, f"left open after {data[:60]!r}"
    return response


_INVALID_HTTP = {
    "random bytes": (secrets.token_bytes(4000) + b"\r\n\r\n", b" 400 "),
    "zero bytes": (b"\x00" * 100 + b"\r\n\r\n", b" 400 "),
    "no version": (b"GET /desk/1\r\n\r\n", b" 400 "),
    "no host": (b"GET /desk/1 HTTP/1.1\r\n\r\n", b" 400 "),
    "http/2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b" 400 "),
    "bad length": (
        b"POST /desk/1 HTTP/1.1\r\nHost: x\r\nContent-Length: ten\r\n\r\n",
        b" 400 ",
    ),
    "two lengths": (
        b"POST /desk/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b" 400 ",
    ),
    "broken chunk": (
        b"POST /desk/1 HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b" 400 ",
    ),
    "no path": (b"GET * HTTP/1.1\r\nHost: x\r\n\r\n", b" 400 "),
    "oversized header": (
        b"GET /desk/1 HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 40_000 + b"\r\n\r\n",
        b" 431 ",
    ),
    "bad header with a key": (
        b"GET /desk/1 HTTP/1.1\r\nHost: x\r\n"
        + _KEY_HEADER[:-2]
        + b"\x00\r\n\r\n",
        b" 400 ",
    ),
}


@pytest.mark.parametrize("port", ["caller_address", "target_address"])
async def test_invalid_bytes_on_http_ports_get_an_error(port):
    """Guards against a request that breaks the node or never ends."""
    async with _node() as (host, _):
        address = getattr(host.settings.host, port)
        for name, (data, status) in _INVALID_HTTP.items():
            response = await _send(address, data)
            # A connection closed with unread bytes may lose the response.
            head = response.split(b"\r\n", 1)[0]
            assert status in head or not response, (name, head)
            assert b"Bearer" not in response, name


@pytest.mark.parametrize("port", ["caller_address", "target_address"])
@pytest.mark.parametrize(
    "data",
    [
        b"GET /desk/1 HT",
        b"GET /desk/1 HTTP/1.1\r\nHost: x\r\n",
        b"POST /desk/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab",
    ],
    ids=["request line", "header", "body"],
)
async def test_an_incomplete_request_closes_the_connection(port, data):
    """Guards against an incomplete request that runs or stays in flight."""
    async with _node() as (host, _):
        address = getattr(host.settings.host, port)
        response = await _send(address, data, half_close=True)
        assert b" 200 " not in response
        await trio.sleep(0.1)
        assert host.runtime.drain.in_flight == 0


async def test_non_websocket_bytes_close_the_peer_connection():
    """Guards against an unauthenticated client that disturbs the node."""
    async with _node() as (host, lines):
        address = host.settings.host.peer_address
        for data, _ in _INVALID_HTTP.values():
            await _send(address, data, half_close=True)
        await _send(address, b"", half_close=True)
        assert any(line.startswith("E0203") for line in lines)


def _credentials(secret):
    return links.Credentials(
        identity=authentication.Identity("10.9.9.9:1", 1, "zone-0"),
        secret=authentication.Secret(secret),
        timeout_s=1.0,
    )


_UNAUTHENTICATED = {
    "a call": {"type": "call", "call_id": 1, "path": "/desk/1"},
    "a heartbeat": {"type": "heartbeat", "node_id": "x", "config_revision": 9},
    "a document": {"type": "document", "kind": "configuration", "content": b""},
    "a proof": {"type": "proof", "proof": b"x" * 32},
    "a short nonce": {
        "type": "hello",
        "node_id": "x",
        "incarnation": 1,
        "availability_zone": "z",
        "nonce": b"1",
    },
}


@pytest.mark.parametrize("name", _UNAUTHENTICATED)
async def test_a_peer_that_skips_the_handshake_is_closed(name):
    """Guards against messages that take effect before authentication."""
    async with _node() as (host, _), trio.open_nursery() as nursery:
        connection = await trio_client.connect(
            f"ws://{host.settings.host.peer_address}/", proxy=None
        ).connect(nursery)
        await connection.send(cbor2.dumps(_UNAUTHENTICATED[name]))
        with (
            trio.fail_after(_RESPONSE_TIMEOUT_S),
            pytest.raises(Exception, match="close frame"),
        ):
            await connection.recv()
        assert host.runtime.configuration.revision == 1
        nursery.cancel_scope.cancel()


async def test_a_peer_with_a_wrong_secret_is_refused_on_both_sides():
    """Guards against a peer that is not a node of this fleet."""
    async with _node() as (host, lines), trio.open_nursery() as nursery:
        with pytest.raises(errors.AuthenticationError, match="secrets differ"):
            await links.open_link(
                nursery,
                host.settings.host.peer_address,
                _credentials(b"another-secret-entirely"),
            )
        # An opener that ignores the listener's proof is rejected as well.
        connection = await trio_client.connect(
            f"ws://{host.settings.host.peer_address}/", proxy=None
        ).connect(nursery)
        link = links.Link(connection, "listener")
        await link.send(authentication.make_hello(_credentials(b"x").identity))
        await link.expect(models.Challenge)
        await link.send(models.Proof(proof=b"\x00" * 32))
        with (
            trio.fail_after(_RESPONSE_TIMEOUT_S),
            pytest.raises(errors.ConnectionLostError),
        ):
            await link.expect(models.Welcome)
        assert any("secrets differ" in line for line in lines)
        nursery.cancel_scope.cancel()


_NESTED = b"\x81" * 100_000 + b"\x00"

_BAD_FRAMES = {
    "not cbor": b"\xff\xff\xff",
    "cut off": cbor2.dumps({"type": "heartbeat", "node_id": "x"})[:-3],
    "nested": _NESTED,
    "huge length": b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
    "huge array": b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
    "no map": cbor2.dumps([1, 2, 3]),
    "a number": cbor2.dumps(7),
    "no type": cbor2.dumps({"node_id": "x"}),
    "type is a list": cbor2.dumps({"type": ["heartbeat"]}),
    "unknown type": cbor2.dumps({"type": "coup", "node_id": "x"}),
    "answer unasked": cbor2.dumps(
        {"type": "answer", "call_id": 1, "outcome": "ran", "status": 200}
    ),
    "wrong field type": cbor2.dumps(
        {"type": "heartbeat", "node_id": 5, "config_revision": "many"}
    ),
    "missing field": cbor2.dumps({"type": "call", "call_id": 1}),
    "negative class": cbor2.dumps(
        {"type": "call", "call_id": 1, "priority": -1, "bucket": 900}
    ),
    "bad record": cbor2.dumps(
        {
            "type": "heartbeat",
            "node_id": "10.9.9.9:1",
            "config_revision": 1,
            "changes": [{"node_id": "x", "status": 17}],
        }
    ),
    "another's heartbeat": cbor2.dumps(
        {"type": "heartbeat", "node_id": "10.1.1.1:1", "config_revision": 1}
    ),
    "text": "a text frame",
    "too large": b"\x00" * (3 * 1024 * 1024),
}


@pytest.mark.parametrize("name", _BAD_FRAMES)
async def test_a_bad_frame_of_an_authenticated_peer_ends_only_its_link(name):
    """Guards against a peer of another version that stops a node."""
    async with _node() as (host, lines), trio.open_nursery() as nursery:
        link = await links.open_link(
            nursery,
            host.settings.host.peer_address,
            _credentials(nodes.SECRET.encode()),
        )
        with (
            trio.fail_after(_RESPONSE_TIMEOUT_S),
            pytest.raises(Exception, match=r"close frame|too big"),
        ):
            await link._connection.send(_BAD_FRAMES[name])
            await link._connection.recv()
        assert any(line.startswith("E0203") for line in lines) or (
            name == "too large"
        )
        nursery.cancel_scope.cancel()


async def test_unknown_fields_and_states_of_a_newer_version_are_ignored():
    """Guards against a rolling upgrade that separates old and new nodes."""
    async with _node() as (host, _), trio.open_nursery() as nursery:
        link = await links.open_link(
            nursery,
            host.settings.host.peer_address,
            _credentials(nodes.SECRET.encode()),
        )
        record = {
            "node_id": "10.9.9.9:1",
            "availability_zone": "zone-0",
            "incarnation": 1,
            "version": 1,
            "status": 0,
            "target_state": "hibernating",
            "mood": "good",
        }
        await link._connection.send(
            cbor2.dumps(
                {
                    "type": "heartbeat",
                    "node_id": "10.9.9.9:1",
                    "config_revision": 0,
                    "weather": "fine",
                    "changes": [record],
                }
            )
        )
        ack = await link.expect(models.HeartbeatAck)
        assert ack.config_revision == 1
        assert host.record_of("10.9.9.9:1").target_state == "absent"
        nursery.cancel_scope.cancel()
