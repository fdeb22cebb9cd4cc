"""Planned stops, pauses and a store that is down, as real processes."""

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


def _places(count, **target):
    return [
        launcher.make_place(
            f"desk-{number}", f"zone-{number % 2}", service="desk", **target
        )
        for number in range(count)
    ]


async def _served(place):
    bank = caller.Caller([place.caller_address], samples.NATIONAL_KEY)

    async def check():
        return (await bank.request("GET", "/desk/1")).status == 200

    await waiting.until(check, f"{place.name} serves")
    await bank.close()


async def _executions(fleet, place):
    counters = await fleet.control(place.target.address, "/standin/counters")
    return counters["executions"]


async def test_a_rolling_restart_of_every_node_loses_nothing():
    """Guards against requests cut, lost or run twice by planned stops."""
    places = _places(4, service_ms=60.0, slots=50)
    fleet = launcher.Fleet(places)
    try:
        await fleet.start(samples.document())
        for place in places:
            await _served(place)
        bank = caller.Caller(
            [place.caller_address for place in places], samples.NATIONAL_KEY
        )
        load = steady.SteadyLoad(bank, "POST", "/desk/1", 60.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.0)
            for place in places:
                assert await fleet.stop(f"node-{place.name}") == 0
                fleet.start_node(place)
                await _served(place)
            await trio.sleep(1.0)
            load.stop()
        assert load.tally.lost == []
        assert load.tally.refused == []
        assert load.tally.completed > 200
        runs = {}
        for place in places:
            for request_id, count in (await _executions(fleet, place)).items():
                runs[request_id] = runs.get(request_id, 0) + count
        assert max(runs.values()) == 1
        await bank.close()
    finally:
        await fleet.close()


@pytest.mark.parametrize("how", ["announced", "stopped by operators"])
async def test_a_leaving_target_gets_nothing_new_and_loses_nothing(how):
    """Guards against work for a target that is about to exit."""
    places = _places(3, service_ms=300.0, slots=50)
    fleet = launcher.Fleet(places)
    leaving = places[0]
    try:
        await fleet.start(samples.document())
        for place in places:
            await _served(place)
        bank = caller.Caller(
            [place.caller_address for place in places], samples.NATIONAL_KEY
        )
        load = steady.SteadyLoad(bank, "POST", "/desk/1", 40.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.5)
            if how == "announced":
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
            started = await _executions(fleet, leaving)
            await trio.sleep(2.0)
            later = await _executions(fleet, leaving)
            load.stop()
        assert started
        assert later == started
        assert load.tally.lost == []
        assert load.tally.refused == []
        await bank.close()
    finally:
        await fleet.close()


async def test_a_paused_node_is_taken_back_when_it_resumes():
    """Guards against a node that stays dead, or that undoes a change."""
    places = _places(3)
    fleet = launcher.Fleet(places)
    paused, *others = places
    try:
        await fleet.start(samples.document())
        for place in places:
            await _served(place)
        fleet.signal(f"node-{paused.name}", signal.SIGSTOP)
        await trio.sleep(6.0)
        assert any(
            f"node {paused.peer_address} is dead"
            in fleet.log(f"node-{place.name}")
            for place in others
        )
        await fleet.write_configuration(
            samples.without_key(samples.document(), "national-bank")
        )
        bank = caller.Caller(
            [place.caller_address for place in others], samples.NATIONAL_KEY
        )

        async def refused():
            answers = [await bank.request("GET", "/desk/1") for _ in others]
            return all(answer.status == 401 for answer in answers)

        await waiting.until(refused, "the others have the new revision")
        fleet.signal(f"node-{paused.name}", signal.SIGCONT)
        resumed_at = trio.current_time()
        resumed = caller.Caller([paused.caller_address], samples.NATIONAL_KEY)

        async def stale_key_refused():
            return (await resumed.request("GET", "/desk/1")).status == 401

        await waiting.until(stale_key_refused, "the resumed node catches up")
        assert trio.current_time() - resumed_at < 3.0
        # Only the target beside the resumed node is left.
        for place in others:
            await fleet.control(place.target.address, "/standin/leave", {})
        farmers = caller.Caller(
            [place.caller_address for place in others], samples.COOPERATIVE_KEY
        )

        async def reaches_resumed():
            answer = await farmers.request("GET", "/desk/1")
            return paused.target.address.encode() in answer.body

        await waiting.until(reaches_resumed, "calls go to the resumed node")
    finally:
        await fleet.close()


async def test_a_node_that_starts_while_the_store_is_down_serves():
    """Guards against a store outage that keeps replaced hosts out."""
    places = _places(3)
    fleet = launcher.Fleet(places)
    late = places[2]
    try:
        await fleet.start(samples.document(revision=1))
        await fleet.write_configuration(samples.document(revision=2))
        for place in places:
            await _served(place)
        await fleet.kill(f"node-{late.name}")
        await fleet.control(
            fleet.store_address, "/standin/faults", {"mode": "down"}
        )
        fleet.start_node(late)
        await _served(late)
        assert "configuration revision 2" in fleet.log(f"node-{late.name}")
    finally:
        await fleet.close()
