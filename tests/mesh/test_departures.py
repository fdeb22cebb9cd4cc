"""Targets that have left, across restarts of their nodes.

A review found a deregistered endpoint in use again after its node had been
killed, as a late heartbeat reinstated it (DRAIN).
"""

import pytest
import trio

from common import mesh_fleet
from common import waiting
from sassafras_standins.platform import store as store_standin

pytestmark = pytest.mark.loopback


async def _start(fleet):
    """Starts two targets of a service and a node that sends it requests."""
    await fleet.add_machine("one")
    await fleet.add_machine("two")
    await fleet.add_machine("web", service="back")
    await fleet.wait_until_settled()


async def _kill(fleet, name):
    fleet.kill_node(name)
    await fleet.wait_until_ended(name)


async def _stop(fleet, name):
    fleet.nodes[name].drain.requested.set()
    await fleet.wait_until_ended(name)


async def _depart(fleet, name, way):
    """Returns the status of the acknowledgement.

    The stand-in sends further heartbeats, which are late ones from then on.
    """
    leaving = fleet.endpoints[name]
    if way == "deregistered":
        return await leaving.deregister()
    leaving.state = "draining"
    status = await leaving.send_heartbeat()
    leaving.state = "ready"
    return status


async def _is_unused(fleet, name):
    """Sends requests at once; returns whether none reaches the endpoint.

    One after another would go to the endpoint with fewer failures only.
    """
    leaving = fleet.endpoints[name]
    before = len(leaving.executions)

    async def send_request():
        # A new node runs 10 calls at once and queues the others for 0.1 s at
        # most, so a slow machine refuses some of them; callers repeat these.
        with trio.fail_after(5.0):
            while (response := await fleet.send_request("web")).status == 503:
                outcome = response.header("sassafras-outcome")
                assert outcome == "not-run; reason=overload"
                await trio.sleep(0.1)
        assert response.status == 200

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(send_request)
    return len(leaving.executions) == before


async def _wait_until_used(fleet, name):
    async def is_used():
        return not await _is_unused(fleet, name)

    # The end of its node has ejected the target for some seconds.
    await waiting.until(is_used, f"{name} gets requests")


@pytest.mark.parametrize("way", ["deregistered", "draining"])
@pytest.mark.parametrize("end", [_kill, _stop])
async def test_a_target_that_left_stays_unused_after_a_restart(
    tmp_path, end, way
):
    """Guards against a late heartbeat that reinstates a target (DRAIN)."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await _start(fleet)
        assert await _depart(fleet, "one", way) == 200
        for _ in range(2):
            # Twice, as the second process has to publish what it restored.
            await end(fleet, "one")
            await fleet.start_node("one")
            await trio.sleep(1.5)
            assert not fleet.nodes["one"].target.is_serving
            serving = fleet.nodes["web"].fleet.serving("front")
            assert [entry.node_id for entry in serving] == ["two"]
            assert await _is_unused(fleet, "one")


async def test_a_target_is_used_again_after_a_restart(tmp_path):
    """Guards against a sound target that a restart of its node excludes."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await _start(fleet)
        await _kill(fleet, "one")
        await fleet.start_node("one")
        with trio.fail_after(3.0):
            await fleet.wait_until_settled()
        await _wait_until_used(fleet, "one")


async def test_the_next_start_of_a_target_that_left_is_used(tmp_path):
    """Guards against a machine that is lost with its first target."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await _start(fleet)
        assert await _depart(fleet, "one", "deregistered") == 200
        await _kill(fleet, "one")
        await fleet.start_node("one")
        fleet.endpoints["one"].restart()
        with trio.fail_after(3.0):
            await fleet.wait_until_settled()
        await _wait_until_used(fleet, "one")


@pytest.mark.parametrize("way", ["deregistered", "draining"])
async def test_a_departure_is_acknowledged_when_the_store_has_it(tmp_path, way):
    """Guards against an acknowledgement that only the process remembers.

    The target is out of use at once all the same.
    """
    async with mesh_fleet.running(tmp_path) as fleet:
        await _start(fleet)
        fleet.store.mode = store_standin.Mode.BUSY
        assert await _depart(fleet, "one", way) == 503
        assert await _is_unused(fleet, "one")
        fleet.store.mode = store_standin.Mode.NORMAL

        async def is_acknowledged():
            return await _depart(fleet, "one", way) == 200

        await waiting.until(is_acknowledged, "the departure is acknowledged")


async def test_a_node_that_cannot_read_its_entry_uses_no_target(tmp_path):
    """Guards against a heartbeat that is believed before the entry is read."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await _start(fleet)
        assert await _depart(fleet, "one", "deregistered") == 200
        await _kill(fleet, "one")
        fleet.store.mode = store_standin.Mode.BUSY
        await fleet.start_node("one")
        assert await fleet.endpoints["one"].send_heartbeat() == 503
        assert not fleet.nodes["one"].target.is_serving
