"""Each node of a fleet learns of all others, whenever they start."""

import random

import pytest
import trio

from common import rate_load
from common import store_fleet

# `CatchUpS` of the deployments.
_CATCH_UP_S = 4.0


async def _start(fleet, names, rng, span_s):
    """Starts nodes at random moments of a span."""
    begun = trio.current_time()
    for at_s, name in sorted((rng.uniform(0, span_s), name) for name in names):
        await trio.sleep(max(0.0, begun + at_s - trio.current_time()))
        await fleet.start_node(name)


def _know_each_other(fleet):
    return all(
        {entry.node_id for entry in node.fleet.listed_entries}
        == fleet.nodes.keys() - {name}
        for name, node in fleet.nodes.items()
    )


def _owned_pools(fleet):
    return sum(node.limiter.owned_pools for node in fleet.nodes.values())


async def _check_start(seed, size, span_s):
    rng = random.Random(seed)
    async with store_fleet.running(links_all=False) as fleet:
        fleet.configure(
            2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
        )
        await _start(fleet, [f"node-{n}" for n in range(size)], rng, span_s)
        await store_fleet.until(lambda: _know_each_other(fleet), _CATCH_UP_S)
        await store_fleet.until(lambda: _owned_pools(fleet) == 1, _CATCH_UP_S)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("size", "span_s"), [(20, 0.3), (30, 0.3), (30, 1.0), (60, 0.5)]
)
def test_nodes_that_start_together_learn_of_each_other(seed, size, span_s):
    """Guards against nodes that miss others for as long as they run (SHORT).

    They found no target for their calls, and owned pools of other nodes.
    """
    store_fleet.run(_check_start, seed, size, span_s)


async def _check_changes(seed):
    rng = random.Random(seed)
    async with store_fleet.running(links_all=False) as fleet:
        fleet.configure(
            2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
        )
        await _start(fleet, [f"node-{n}" for n in range(40)], rng, 0.5)
        await trio.sleep(_CATCH_UP_S)
        for round_number in range(3):
            leaving = rng.sample(sorted(fleet.nodes), 4)
            for name in leaving[:2]:
                await fleet.stop_node(name)
            for name in leaving[2:]:
                fleet.kill_node(name)
            new = [f"new-{round_number}-{n}" for n in range(4)]
            await _start(fleet, new, rng, 0.5)
            lease_s = fleet.nodes[new[0]].lease_s
            await store_fleet.until(
                lambda: _know_each_other(fleet), lease_s + _CATCH_UP_S
            )


@pytest.mark.parametrize("seed", range(4))
def test_nodes_learn_of_those_that_come_and_go(seed):
    """Guards against calls to targets that were replaced long ago (SHORT)."""
    store_fleet.run(_check_changes, seed)


async def _most_admitted(seed, size, span_s):
    """Returns the most admitted in a window while a fleet starts."""
    rng = random.Random(seed)
    async with store_fleet.running(links_all=False) as fleet:
        fleet.configure(
            2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
        )
        load = rate_load.RateLoad(
            4.6 * rate_load.RATE_PER_S, rate_load.any_ready(fleet), seed
        )
        load.begins.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await _start(fleet, [f"node-{n}" for n in range(size)], rng, span_s)
            await trio.sleep(_CATCH_UP_S + 2 * rate_load.WINDOW_S)
            nursery.cancel_scope.cancel()
        return load.max_in_window


@pytest.mark.parametrize(
    ("seed", "size", "span_s"),
    [(0, 30, 0.3), (1, 60, 0.5), (0, 60, 0.5), (0, 60, 3.0), (1, 60, 3.0)],
)
def test_nodes_with_few_links_keep_the_rate_as_they_start(seed, size, span_s):
    """Guards against nodes that divide a rate by too few others (QUOTA)."""
    most = store_fleet.run(_most_admitted, seed, size, span_s)
    assert most <= rate_load.MAX_IN_WINDOW
