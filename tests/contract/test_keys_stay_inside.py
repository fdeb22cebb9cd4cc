"""A caller's key never leaves the node that received it."""

import base64

import loguru
import pytest
import trio

from common import nodes
from common import waiting
from sassafras_node.peers import handlers
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.store import server as store_server
from sassafras_standins.target import server as target_server
from sassafras_standins.target import settings as target_settings
from sassafras_wire.http import sockets
from sassafras_wire.peer import codec

pytestmark = pytest.mark.loopback

_KEY = samples.NATIONAL_KEY
_WRONG_KEY = "a-key-that-nobody-granted"

_REQUESTS = {
    "right key": f"Authorization: Bearer {_KEY}",
    "wrong key": f"Authorization: Bearer {_WRONG_KEY}",
    "odd scheme": f"Authorization: Basic {_KEY}",
    "odd case": f"aUTHORIZATION:bearer   {_KEY}",
    "twice": (
        f"Authorization: Bearer {_KEY}\r\nAuthorization: Bearer {_WRONG_KEY}"
    ),
    "in other fields": (
        f"Authorization: Bearer {_KEY}\r\nX-Api-Key: {_KEY}\r\n"
        f"Cookie: key={_KEY}\r\nProxy-Authorization: Bearer {_KEY}"
    ),
    "connection options": (
        f"Authorization: Bearer {_KEY}\r\nConnection: authorization"
    ),
    "broken field": f"Authorization: Bearer {_KEY}\x00",
    "no colon": f"Authorization Bearer {_KEY}",
    "oversized": f"Authorization: Bearer {_KEY}\r\nX: {'y' * 20_000}",
}
_PATHS = ("/desk/1", "/desk/open", "/nowhere/1", "/accounts/1", "*")


async def _request(address, path, fields):
    """Sends a request without recording its bytes as sent by a node."""
    host, port = address.rsplit(":", 1)
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n\r\n"
    with trio.socket.socket() as sock, trio.move_on_after(2.0):
        await sock.connect((host, int(port)))
        # Small enough for the empty send buffer, so it is sent whole.
        sock._sock.send(head.encode("latin-1"))
        await sock.recv(65536)


async def test_nothing_that_leaves_a_node_holds_a_key(monkeypatch):
    """Guards against keys in requests to targets, frames, responses or logs."""
    sent = bytearray()
    with trio.socket.socket() as sock:
        socket_type = type(sock)
    original = socket_type.send

    async def record(self, data, *flags):
        sent.extend(data)
        return await original(self, data, *flags)

    monkeypatch.setattr(socket_type, "send", record)
    send_now = sockets.SocketStream.send_now

    def record_now(self, data):
        sent.extend(data)
        return send_now(self, data)

    monkeypatch.setattr(sockets.SocketStream, "send_now", record_now)
    encode = codec.encode

    def record_frame(message):
        # The side that opens a link masks its frames on the wire.
        frame = encode(message)
        sent.extend(frame)
        return frame

    monkeypatch.setattr(codec, "encode", record_frame)
    lines = []
    sink = loguru.logger.add(lines.append, level="TRACE", backtrace=True)
    store = store_server.StoreServer()
    store_address = launcher.free_address()
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(store.listen, store_address)
            async with nodes.fleet(2, store_address=store_address) as fleet:
                await _exercise(fleet)
            nursery.cancel_scope.cancel()
    finally:
        loguru.logger.remove(sink)
    # Checks that the recording works and a call reached a peer's target.
    assert b"sassafras-context" in sent
    assert b"root_id" in sent
    text = "\n".join(map(str, lines)).encode()
    for key in (_KEY, _WRONG_KEY):
        for form in (
            key.encode(),
            base64.b64encode(key.encode()).rstrip(b"="),
            key.encode().hex().encode(),
        ):
            assert form not in sent
            assert form not in text


async def _exercise(fleet):
    entry, target_host = fleet.hosts
    for host in fleet.hosts:
        handlers.activate_configuration(
            host.runtime, samples.document(), "test"
        )
    target = target_server.TargetServer(
        target_settings.TargetSettings(
            address=launcher.free_address(),
            node_address=target_host.settings.host.target_address,
            service="desk",
            service_ms=1.0,
            sub_calls=["/accounts/1"],
        )
    )
    await fleet.nursery.start(target.run)

    async def known():
        return entry.runtime.table.serving("desk")

    await waiting.until(known, "the target is known")

    async def served():
        await _request(
            entry.settings.host.caller_address,
            "/desk/1",
            _REQUESTS["right key"],
        )
        return target.executions

    await waiting.until(served, "the organisation has tokens")
    for fields in _REQUESTS.values():
        for path in _PATHS:
            for address in (
                entry.settings.host.caller_address,
                entry.settings.host.target_address,
            ):
                await _request(address, path, fields)
    assert target.executions
