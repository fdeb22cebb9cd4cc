"""Clients that read large responses slowly, at processes with low limits."""

import pytest
import trio

from common import crowds
from common import waiting

pytestmark = pytest.mark.processes

_LIMITS = crowds.Limits(memory_mb=100, descriptors=1000)
# Half of what is left at each step, so that they take all but a few kilobytes.
_SIZES = (2_000_000, 1_000_000, 500_000, 250_000, 150_000)
_CLIENTS = 100
# Responses of a third of the memory for responses.
_AMPLE = crowds.Limits(memory_mb=200, descriptors=1000)
_LARGE = 6_000_000


async def _read_a_byte(streams) -> None:
    for stream in streams:
        with trio.move_on_after(0.001):
            try:
                await stream.receive_some(1)
            except trio.BrokenResourceError:
                continue


async def _hold(site, crowd, at, reads) -> None:
    """Makes responses that are ready together and are not read."""
    streams = await crowd.connect(site.address(at, "Outbound"), _CLIENTS)
    requests = iter(
        [
            site.request(f"/front/held/{_SIZES[n % len(_SIZES)]}")
            for n in range(_CLIENTS)
        ]
    )
    await crowd.send_all(streams, lambda: next(requests))
    target = site.endpoints["front"]

    async def is_full() -> bool:
        return target.waiting >= _CLIENTS // 2

    await waiting.until(is_full, "half of the requests run")
    target.release.set()
    for _ in range(5):
        await trio.sleep(0.2)
        if reads:
            await _read_a_byte(streams)


@pytest.mark.parametrize("reads", [False, True], ids=["unread", "by-byte"])
@pytest.mark.parametrize("at", ["front", "back"])
async def test_unread_responses_leave_memory_for_ordinary_callers(
    tmp_path, at, reads
):
    """Guards against responses that fill a node until their clients leave.

    The clients are at the node beside the target, or at another one. Their
    responses get ready together, and are not read or a byte at a time.
    """
    async with (
        crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        await _hold(site, crowd, at, reads)
        await site.check_ordinary(at, "front")
        await site.check_ordinary(at, "back")
        # Larger than what the unread responses leave.
        response = await site.ask(at, "/front/now/600000")
        assert response.status == 200, response.headers
        site.check_memory()
        site.check_descriptors()


@pytest.mark.parametrize("reads", [False, True], ids=["unread", "by-byte"])
@pytest.mark.parametrize("at", ["front", "back"])
async def test_unread_responses_give_way_to_one_of_the_same_size(
    tmp_path, at, reads
):
    """Guards against a few clients that hold the memory for all responses.

    Their responses are larger than what the kernel takes over on loopback.
    """
    async with (
        crowds.running(tmp_path, front=_AMPLE, back=_AMPLE) as site,
        crowds.Crowd() as crowd,
    ):
        for _ in range(10):
            streams = await crowd.connect(site.address(at, "Outbound"), 1)
            await crowd.send_all(
                streams, lambda: site.request(f"/front/now/{_LARGE}")
            )
            await trio.sleep(0.2)
        if reads:
            await _read_a_byte(crowd.streams)
        response = await site.ask(at, f"/front/now/{_LARGE}")
        assert response.status == 200, response.headers
        await site.check_ordinary(at, "front")
        site.check_memory()
        site.check_descriptors()


async def test_an_unread_response_ends_after_the_idle_timeout(tmp_path):
    """Guards against clients that hold a response and a descriptor for ever."""
    async with (
        crowds.running(tmp_path, idle_timeout_ms=1000, front=_AMPLE) as site,
        crowds.Crowd() as crowd,
    ):
        streams = await crowd.connect(site.address("front", "Outbound"), 1)
        await crowd.send_all(
            streams, lambda: site.request(f"/front/now/{_LARGE}")
        )

        async def is_held() -> bool:
            return await site.metric("front", "response_bytes") > 0

        await waiting.until(is_held, "the response is held")

        async def has_ended() -> bool:
            return await site.metric("front", "response_bytes") == 0

        await waiting.until(has_ended, "the unread response ends")
        closed = 'connections_closed_total{kind="unread"}'
        assert await site.metric("front", closed) == 1
        await site.check_ordinary("front", "front")


async def test_a_large_response_that_is_read_slowly_is_whole_in_calm(tmp_path):
    """Guards against limits that cut off a single client inside the limits."""
    async with (
        crowds.running(tmp_path, idle_timeout_ms=1000, front=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        (stream,) = await crowd.connect(site.address("front", "Outbound"), 1)
        await stream.send_all(
            site.request("/front/now/1500000", "Connection: close")
        )
        size = 0
        while data := await stream.receive_some(50_000):
            size += len(data)
            # About two seconds in all, twice the idle timeout.
            await trio.sleep(len(data) / 750_000)
        assert size > 1_500_000
