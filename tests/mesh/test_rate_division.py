"""How nodes that start divide the rates, on a mock clock."""

import itertools
import random

import pytest
import trio

from common import rate_load
from common import store_fleet

_AWAY_S = 4.5
_SETTLE_S = 4.0
_AFTER_S = 12.0
# Leases last for 6 s, and a node that is missing then is gone 2.5 s later.
_GONE_AFTER_S = 9.0


async def _start(fleet, names):
    for name in names:
        await fleet.start_node(name)


async def _settle(fleet, names, load_begins):
    """Starts a fleet, and its load when all nodes know each other."""
    await _start(fleet, names)
    await trio.sleep(_SETTLE_S)
    load_begins.set()
    await trio.sleep(_AFTER_S)


async def _first_start(fleet, names, load_begins):
    load_begins.set()
    await _start(fleet, names)


async def _planned_restart(fleet, names, load_begins):
    await _settle(fleet, names, load_begins)
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(fleet.stop_node, name)
    await trio.sleep(1.0)
    await _start(fleet, names)


async def _killed_in_outage(fleet, names, load_begins, survivors=0):
    await _settle(fleet, names, load_begins)
    fleet.is_away = True
    await trio.sleep(1.0)
    for name in names[survivors:]:
        fleet.kill_node(name)
    await trio.sleep(1.0)
    await _start(fleet, names[survivors:])
    await trio.sleep(_AWAY_S - 2.0)
    fleet.store.expire_leases()
    fleet.is_away = False


async def _killed_in_outage_but_one(fleet, names, load_begins):
    await _killed_in_outage(fleet, names, load_begins, survivors=1)


async def _lost_for_good_but_one(fleet, names, load_begins):
    await _settle(fleet, names, load_begins)
    for name in names[1:]:
        fleet.kill_node(name)


async def _lost_for_good_before_a_start(fleet, names, load_begins):
    await _settle(fleet, names, load_begins)
    for name in names:
        fleet.kill_node(name)
    await _start(fleet, names[:1])


async def _grown(fleet, names, load_begins):
    await _settle(fleet, names[:1], load_begins)
    await _start(fleet, names[1:])


_WAYS = [
    _first_start,
    _planned_restart,
    _killed_in_outage,
    _killed_in_outage_but_one,
    _lost_for_good_but_one,
    _lost_for_good_before_a_start,
    _grown,
]


async def _play(way, hosts, per_s):
    """Returns the load, and when the fleet had its last change."""
    names = [f"node-{number}" for number in range(hosts)]
    async with store_fleet.running(None) as fleet:
        fleet.configure(
            2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
        )
        load = rate_load.RateLoad(per_s, rate_load.any_ready(fleet))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await way(fleet, names, load.begins)
            returned_at = trio.current_time()
            await trio.sleep(_AFTER_S)
            nursery.cancel_scope.cancel()
        return load, returned_at


@pytest.mark.parametrize("hosts", [5, 20])
@pytest.mark.parametrize("way", _WAYS)
def test_nodes_that_start_together_admit_no_more_than_the_rate(way, hosts):
    """Guards against nodes that each use the whole of a rate (QUOTA)."""
    load, _ = store_fleet.run(_play, way, hosts, 4.6 * rate_load.RATE_PER_S)
    assert load.max_in_window <= rate_load.MAX_IN_WINDOW


@pytest.mark.parametrize("hosts", [1, 5])
@pytest.mark.parametrize("way", _WAYS)
def test_the_whole_rate_is_served_after_nodes_came_or_went(way, hosts):
    """Guards against a bound that is kept by refusing what is within it."""
    load, returned_at = store_fleet.run(
        _play, way, hosts, 4.6 * rate_load.RATE_PER_S
    )
    served = [at for at in load.admitted if at >= returned_at + _GONE_AFTER_S]
    assert len(served) >= 0.95 * rate_load.RATE_PER_S * (
        _AFTER_S - _GONE_AFTER_S
    )


def test_rates_are_kept_as_a_fleet_begins_to_divide_them():
    """Guards against nodes that each divide by their own demand only (QUOTA).

    Nodes report no demand while a pool has the whole rate, as in a fleet of 18.
    """

    async def play():
        names = [f"node-{number}" for number in range(18)]
        async with store_fleet.running(None) as fleet:
            fleet.configure(
                2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
            )
            load = rate_load.RateLoad(
                0.5 * rate_load.RATE_PER_S, rate_load.any_ready(fleet)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await _settle(fleet, names, load.begins)
                await fleet.stop_node(names[0])
                # The burst of the pool is left, and is spent with the shares.
                load.per_s = 4.6 * rate_load.RATE_PER_S
                await trio.sleep(_AFTER_S)
                nursery.cancel_scope.cancel()
        return load

    assert store_fleet.run(play).max_in_window <= rate_load.MAX_IN_WINDOW


def test_at_most_one_node_owns_a_pool_at_any_time():
    """Guards against two owners of one pool while a fleet starts."""

    async def count_owners():
        owners = []
        async with store_fleet.running(None) as fleet:
            fleet.configure(
                2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
            )
            rng = random.Random(1)
            async with trio.open_nursery() as nursery:

                async def start_late(name):
                    await trio.sleep(rng.random() * 0.3)
                    await fleet.start_node(name)

                for number in range(20):
                    nursery.start_soon(start_late, f"node-{number}")
                for _ in itertools.repeat(None, 1500):
                    await trio.sleep(0.001)
                    owners.append(
                        sum(n.limiter.owned_pools for n in fleet.nodes.values())
                    )
        return owners

    owners = store_fleet.run(count_owners)
    assert max(owners) == 1
    assert owners[-1] == 1
