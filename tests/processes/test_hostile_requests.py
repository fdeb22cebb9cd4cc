"""Requests that are over a limit or without end, at many connections."""

import struct

import pytest
import trio
from websockets import frames

from common import crowds
from common import waiting
from sassafras_wire.mesh import link_messages
from sassafras_wire.peer import codec

pytestmark = pytest.mark.processes

_LIMITS = crowds.Limits(memory_mb=100, descriptors=1000)
_HTTP_PORTS = ("Outbound", "Ready", "Control", "Metrics")
_CLIENTS = 200
_LARGE_WRITE = 200_000
# Below the limit on heads. Each field costs far more memory than its bytes.
_SMALL_FIELDS = tuple(f"a{n % 10}: b" for n in range(1600))
_UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: node\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)
_BINARY_FRAME = b"\x82\xff" + struct.pack("!Q", 1_900_000) + b"\0\0\0\0"


async def _check(site, port, make, clients=_CLIENTS) -> None:
    """Checks the node during and after what a crowd sends to an address."""
    async with crowds.Crowd() as crowd:
        streams = await crowd.connect(site.address("front", port), clients)
        await crowd.send_all(streams, make, 3.0)
        await trio.sleep(0.5)
        site.check_memory()
        site.check_descriptors()
        site.endpoints["front"].release.set()
        await site.check_ordinary("front", "front")
        await site.check_ordinary("back", "front")
        assert await site.is_ready("front")
        assert await site.endpoints["front"].send_heartbeat() == 200
        site.check_memory()


@pytest.mark.parametrize("is_complete", [True, False], ids=["whole", "part"])
async def test_heads_of_many_small_fields(tmp_path, is_complete):
    """Guards against heads that take fifty times their bytes of memory.

    They are held while their requests run, or while their bodies arrive.
    """
    end = () if is_complete else ("Content-Length: 1000",)
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(
            site,
            "Outbound",
            lambda: site.request(
                "/front/held/10", *_SMALL_FIELDS, *end, method="POST"
            ),
        )


@pytest.mark.parametrize("port", [*_HTTP_PORTS, "Call", "Link"])
async def test_heads_without_end(tmp_path, port):
    """Guards against heads that are kept beyond the limit on heads."""
    head = b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * _LARGE_WRITE
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(site, port, lambda: head)


@pytest.mark.parametrize("write", [1, 2, _LARGE_WRITE])
@pytest.mark.parametrize("port", ["Outbound", "Control", "Link"])
async def test_empty_lines_before_a_request(tmp_path, port, write):
    """Guards against empty lines that are kept, by byte, line or many."""
    lines = (b"\r\n" * _LARGE_WRITE)[:write]
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(site, port, lambda: lines)


async def test_upgrades_with_heads_without_end(tmp_path):
    """Guards against heads of upgrades, which have a limit of their own."""
    field = b": " + b"x" * 8000 + b"\r\n"
    head = b"GET / HTTP/1.1\r\n" + b"".join(
        b"a%d" % number + field for number in range(127)
    )
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(site, "Link", lambda: head, clients=100)


async def test_unfinished_messages_on_links(tmp_path):
    """Guards against messages of strangers that are kept until they end."""
    data = _UPGRADE + _BINARY_FRAME + b"x" * 1_800_000
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(site, "Link", lambda: data, clients=60)


async def test_unread_updates_on_links(tmp_path):
    """Guards against strangers that ask for the document and do not read it."""
    ping = link_messages.Ping(number=1, configuration_version=0)
    frame = frames.Frame(frames.Opcode.BINARY, codec.encode(ping))
    data = _UPGRADE + frame.serialize(mask=True) * 40
    async with crowds.running(
        tmp_path, document_routes=4000, front=_LIMITS, back=_LIMITS
    ) as site:
        await _check(site, "Link", lambda: data, clients=60)


async def test_unfinished_calls(tmp_path):
    """Guards against calls of strangers that reserve the memory of others."""
    data = struct.pack("!I", 2_000_000) + b"x" * 1000
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(site, "Call", lambda: data)
        response = await site.ask("back", "/front/now/1", "POST", b"x" * 40_000)
        assert response.status == 200


@pytest.mark.parametrize(
    "rest",
    [
        b"1; " + b"x" * _LARGE_WRITE,
        b"".join(b"1;" + b"x" * 8000 + b"\r\ny\r\n" for _ in range(25)),
        b"0\r\n" + b"x: y\r\n" * 30_000,
    ],
    ids=["extension", "extensions", "trailers"],
)
async def test_chunks_without_end(tmp_path, rest):
    """Guards against the framing of bodies that is kept."""
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        await _check(
            site,
            "Outbound",
            lambda: (
                site.request(
                    "/front/now/1", "Transfer-Encoding: chunked", method="POST"
                )
                + rest
            ),
        )


async def test_bodies_that_stall_leave_room_for_those_of_others(tmp_path):
    """Guards against unfinished bodies that take all memory for bodies."""
    async with (
        crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        streams = await crowd.connect(site.address("front", "Outbound"), 100)
        await crowd.send_all(
            streams,
            lambda: (
                site.request(
                    "/front/now/1", "Content-Length: 900000", method="POST"
                )
                + b"x" * 100_000
            ),
            3.0,
        )
        await trio.sleep(0.5)
        for at in ("front", "back"):
            response = await site.ask(at, "/front/now/1", "POST", b"x" * 40_000)
            assert response.status == 200, response.headers
        site.check_memory()


@pytest.mark.parametrize("part", ["head", "body"])
async def test_requests_slower_than_any_deadline_end(tmp_path, part):
    """Guards against requests that arrive a byte at a time without end."""
    async with (
        crowds.running(tmp_path, idle_timeout_ms=1000, front=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        before = site.open_descriptors("front")
        streams = await crowd.connect(site.address("front", "Outbound"), 50)
        head = site.request("/front/now/1", "Content-Length: 9999")
        if part == "head":
            head = head[:-2] + b"X: "
        await crowd.send_all(streams, lambda: head)

        async def have_ended() -> bool:
            await crowd.send_all(streams, lambda: b"y")
            # Connections of the node to its target may be open.
            return site.open_descriptors("front") < before + 10

        await waiting.until(have_ended, "the node has closed the connections")
        await site.check_ordinary("front", "front")
        site.check_memory()


async def test_pipelined_requests_whose_responses_are_not_read(tmp_path):
    """Guards against requests that wait in a connection outside all limits."""
    async with crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site:
        one = site.request("/front/held/100000", "X: " + "y" * 4000)
        await _check(site, "Outbound", lambda: one * 20, clients=300)
