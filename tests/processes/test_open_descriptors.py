"""Clients that open connections up to the descriptor limit of a node."""

import pytest
import trio

from common import crowds

pytestmark = pytest.mark.processes

# 400 of them are for sockets.
_LIMITS = crowds.Limits(memory_mb=150, descriptors=600)
_IDLE_CLIENTS = 700


@pytest.mark.parametrize(
    "port", ["Outbound", "Ready", "Control", "Metrics", "Call", "Link"]
)
async def test_idle_connections_leave_descriptors_for_all_others(
    tmp_path, port
):
    """Guards against idle clients that take every descriptor of a node.

    Callers, the target, other nodes and the store need connections as well.
    """
    async with (
        crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        await crowd.connect(site.address("front", port), _IDLE_CLIENTS)
        await trio.sleep(0.5)
        site.check_descriptors()
        await site.check_ordinary("front", "front")
        await site.check_ordinary("front", "back")
        await site.check_ordinary("back", "front")
        assert await site.is_ready("front")
        assert await site.endpoints["front"].send_heartbeat() == 200
        site.check_descriptors()
        site.check_memory()


async def test_requests_that_run_leave_descriptors_for_all_others(tmp_path):
    """Guards against requests whose calls take every descriptor of a node.

    Each holds two: one of its client, one to the target or its node.
    """
    async with (
        crowds.running(tmp_path, front=_LIMITS, back=_LIMITS) as site,
        crowds.Crowd() as crowd,
    ):
        streams = await crowd.connect(
            site.address("back", "Outbound"), _IDLE_CLIENTS
        )
        await crowd.send_all(streams, lambda: site.request("/front/held/10"))
        await trio.sleep(1.0)
        site.check_descriptors()
        assert await site.is_ready("back")
        site.endpoints["front"].release.set()
        await site.check_ordinary("back", "front")
        await site.check_ordinary("front", "front")
        site.check_descriptors()
        site.check_memory()
