"""Planned stops, pauses and a store outage, with real processes."""

import dataclasses
import signal

import pytest
import trio

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import steady

pytestmark = pytest.mark.processes


def _hosts(count, **target):
    return [
        launcher.make_host(
            f"desk-{number}", f"zone-{number % 2}", service="desk", **target
        )
        for number in range(count)
    ]


async def _wait_until_served(host):
    bank = caller.Caller([host.caller_address], samples.NATIONAL_KEY)

    async def check():
        return (await bank.request("GET", "/desk/1")).status == 200

    await waiting.until(check, f"{host.name} serves")
    await bank.close()


async def _executions(fleet, host):
    counters = await fleet.control(host.target.address, "/standin/counters")
    return counters["executions"]


async def test_a_rolling_restart_of_every_node_loses_nothing():
    """Guards against requests lost or executed twice during planned stops."""
    hosts = _hosts(4, service_ms=60.0, slots=50)
    fleet = launcher.Fleet(hosts)
    try:
        await fleet.start(samples.document())
        for host in hosts:
            await _wait_until_served(host)
        bank = caller.Caller(
            [host.caller_address for host in hosts], samples.NATIONAL_KEY
        )
        load = steady.SteadyLoad(bank, "POST", "/desk/1", 60.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.0)
            for host in hosts:
                assert await fleet.stop(f"node-{host.name}") == 0
                fleet.start_node(host)
                await _wait_until_served(host)
            await trio.sleep(1.0)
            load.stop()
        assert load.tally.lost == []
        assert load.tally.refused == []
        assert load.tally.completed > 200
        executions = {}
        for host in hosts:
            for request_id, count in (await _executions(fleet, host)).items():
                executions[request_id] = executions.get(request_id, 0) + count
        assert max(executions.values()) == 1
        await bank.close()
    finally:
        await fleet.close()


@pytest.mark.parametrize("cause", ["announced", "stopped by operators"])
async def test_a_leaving_target_gets_nothing_new_and_loses_nothing(cause):
    """Guards against requests sent to a target that is about to exit."""
    hosts = _hosts(3, service_ms=300.0, slots=50)
    fleet = launcher.Fleet(hosts)
    leaving = hosts[0]
    try:
        await fleet.start(samples.document())
        for host in hosts:
            await _wait_until_served(host)
        bank = caller.Caller(
            [host.caller_address for host in hosts], samples.NATIONAL_KEY
        )
        load = steady.SteadyLoad(bank, "POST", "/desk/1", 40.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.5)
            if cause == "announced":
                await fleet.control(
                    leaving.target.address, "/standin/leave", {}
                )
            else:
                await fleet.write_configuration(
                    dataclasses.replace(
                        samples.document(revision=2),
                        stopped_targets=(leaving.target.address,),
                    )
                )
            await trio.sleep(2.0)
            earlier = await _executions(fleet, leaving)
            await trio.sleep(2.0)
            later = await _executions(fleet, leaving)
            load.stop()
        assert earlier
        assert later == earlier
        assert load.tally.lost == []
        assert load.tally.refused == []
        await bank.close()
    finally:
        await fleet.close()


async def test_a_paused_node_rejoins_when_it_resumes():
    """Guards against a node that stays dead or accepts revoked keys."""
    hosts = _hosts(3)
    fleet = launcher.Fleet(hosts)
    paused, *others = hosts
    try:
        await fleet.start(samples.document())
        for host in hosts:
            await _wait_until_served(host)
        fleet.signal(f"node-{paused.name}", signal.SIGSTOP)
        await trio.sleep(6.0)
        assert any(
            f"node {paused.peer_address} is dead"
            in fleet.log(f"node-{host.name}")
            for host in others
        )
        await fleet.write_configuration(
            samples.without_key(samples.document(), "national-bank")
        )
        bank = caller.Caller(
            [host.caller_address for host in others], samples.NATIONAL_KEY
        )

        async def rejected():
            results = [await bank.request("GET", "/desk/1") for _ in others]
            return all(result.status == 401 for result in results)

        await waiting.until(rejected, "the others have the new revision")
        fleet.signal(f"node-{paused.name}", signal.SIGCONT)
        resumed_at = trio.current_time()
        resumed = caller.Caller([paused.caller_address], samples.NATIONAL_KEY)

        async def revoked_key_rejected():
            return (await resumed.request("GET", "/desk/1")).status == 401

        await waiting.until(
            revoked_key_rejected, "the resumed node has the new revision"
        )
        assert trio.current_time() - resumed_at < 3.0
        # Only the target of the resumed node stays.
        for host in others:
            await fleet.control(host.target.address, "/standin/leave", {})
        cooperative = caller.Caller(
            [host.caller_address for host in others], samples.COOPERATIVE_KEY
        )

        async def reaches_resumed():
            result = await cooperative.request("GET", "/desk/1")
            return paused.target.address.encode() in result.body

        await waiting.until(reaches_resumed, "calls go to the resumed node")
    finally:
        await fleet.close()


async def test_a_node_that_starts_while_the_store_is_down_serves():
    """Guards against nodes that cannot start during a store outage."""
    hosts = _hosts(3)
    fleet = launcher.Fleet(hosts)
    restarted = hosts[2]
    try:
        await fleet.start(samples.document(revision=1))
        await fleet.write_configuration(samples.document(revision=2))
        for host in hosts:
            await _wait_until_served(host)
        await fleet.kill(f"node-{restarted.name}")
        await fleet.control(
            fleet.store_address, "/standin/faults", {"mode": "down"}
        )
        fleet.start_node(restarted)
        await _wait_until_served(restarted)
        assert "configuration revision 2" in fleet.log(f"node-{restarted.name}")
    finally:
        await fleet.close()
