"""The part of rates of a node that lost the store, on a mock clock."""

import random

import hypothesis
from hypothesis import strategies
import pytest
import trio

from common import mesh_fleet
from common import rate_load
from common import store_fleet
from common import waiting
from sassafras_base import hashing
from sassafras_node.mesh import interfaces
from sassafras_platform import announcements
from sassafras_platform import front_end
from sassafras_platform import store as platform_store
from sassafras_policy.mesh import rate_lease
from sassafras_standins.fleet import launcher

_LEASE_S = 6.0
_SETTLE_S = 4.0
_BEFORE_S = 6.0
_AFTER_S = 12.0


def _ranked(names):
    """Returns the nodes in the order in which they would own the pool."""
    return hashing.rendezvous(rate_load.ORGANISATION, names, len(names))


async def _reject_owner(fleet, ranked, span_s):
    fleet.cut.add(ranked[0])
    await trio.sleep(span_s)
    fleet.cut.clear()


async def _reject_owner_and_next(fleet, ranked, span_s):
    fleet.cut.update(ranked[:2])
    await trio.sleep(span_s)
    fleet.cut.clear()


async def _reject_a_third(fleet, ranked, span_s):
    fleet.cut.update(ranked[::3])
    await trio.sleep(span_s)
    fleet.cut.clear()


async def _cut_off_owner(fleet, ranked, span_s):
    fleet.cut.add(ranked[0])
    fleet.cut_links.add(ranked[0])
    await trio.sleep(span_s)
    fleet.cut.clear()
    fleet.cut_links.clear()


async def _reject_owner_whose_peers_are_of_an_earlier_version(
    fleet, ranked, span_s
):
    fleet.refuses_renewals = True
    await _reject_owner(fleet, ranked, span_s)
    await trio.sleep(4.0)
    fleet.refuses_renewals = False


async def _outage(fleet, ranked, span_s):
    del ranked
    fleet.is_away = True
    await trio.sleep(span_s)
    fleet.is_away = False


async def _outage_with_leases_lost(fleet, ranked, span_s):
    del ranked
    fleet.is_away = True
    await trio.sleep(span_s)
    fleet.store.expire_leases()
    fleet.is_away = False


_WAYS = [
    _reject_owner,
    _reject_owner_and_next,
    _reject_a_third,
    _cut_off_owner,
    _reject_owner_whose_peers_are_of_an_earlier_version,
    _outage,
    _outage_with_leases_lost,
]


async def _play(way, hosts, span_s, pressure):
    """Returns the load, and when the trouble began and ended."""
    names = [f"node-{number:02}" for number in range(hosts)]
    ranked = _ranked(names)
    async with store_fleet.running(None, links_all=False) as fleet:
        fleet.configure(
            2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
        )
        for name in names:
            await fleet.start_node(name)
        await trio.sleep(_SETTLE_S)
        # Half of the callers use the owner of the pool.
        per_s = pressure * rate_load.RATE_PER_S
        weights = dict.fromkeys(names, 0.5 / hosts)
        weights[ranked[0]] += 0.5
        load = rate_load.RateLoad(per_s, rate_load.weighted(fleet, weights))
        load.begins.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(_BEFORE_S)
            began_at = trio.current_time()
            await way(fleet, ranked, span_s)
            ended_at = trio.current_time()
            await trio.sleep(_AFTER_S)
            nursery.cancel_scope.cancel()
        return load, began_at, ended_at


@pytest.mark.parametrize("span_s", [9.0])
@pytest.mark.parametrize("hosts", [5, 20])
@pytest.mark.parametrize("way", _WAYS)
def test_a_rate_is_kept_while_the_store_rejects_nodes(way, hosts, span_s):
    """Guards against two nodes that both grant the whole rate (QUOTA).

    The owner went on by the proofs of other nodes after its lease had ended,
    beside the one that took over.
    """
    load, _, _ = store_fleet.run(_play, way, hosts, span_s, 2.3)
    assert load.max_in_window <= rate_load.MAX_IN_WINDOW


@pytest.mark.parametrize("hosts", [5, 20])
@pytest.mark.parametrize(
    "way", [_reject_owner, _reject_owner_and_next, _reject_a_third]
)
def test_a_rejected_owner_costs_no_caller_within_the_rate(way, hosts):
    """Guards against a bound that is kept by refusing what is within it."""
    load, began_at, ended_at = store_fleet.run(_play, way, hosts, 9.0, 0.8)
    assert load.refused_between(began_at, ended_at + _AFTER_S) <= 2


@pytest.mark.parametrize("seed", range(3))
def test_at_most_one_node_may_use_a_pool(seed):
    """Guards against an order of cuts in which two nodes own one pool."""

    async def play():
        rng = random.Random(seed)
        names = [f"node-{number:02}" for number in range(20)]
        users = []
        async with store_fleet.running(None, links_all=False) as fleet:
            fleet.configure(
                2, rate_per_s=rate_load.RATE_PER_S, burst=rate_load.BURST
            )
            for name in names:
                await fleet.start_node(name)
            await trio.sleep(_SETTLE_S)
            first = _ranked(names)[:3]
            async with trio.open_nursery() as nursery:

                async def disturb():
                    while True:
                        name = rng.choice(first)
                        cuts = rng.choice([fleet.cut, fleet.cut_links])
                        (cuts.discard if name in cuts else cuts.add)(name)
                        await trio.sleep(rng.expovariate(0.5))

                nursery.start_soon(disturb)
                for _ in range(3000):
                    await trio.sleep(0.02)
                    now = trio.current_time()
                    users.append(
                        sum(
                            node.limiter.owned_pools > 0
                            and now < node.rate_lease.until
                            and node.freshness.permits_keys(now)
                            for node in fleet.nodes.values()
                        )
                    )
                nursery.cancel_scope.cancel()
        return users

    assert max(store_fleet.run(play)) == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["begin", "renew", "end", "confirm", "confirm late"]
            ),
            strategies.floats(0.0, 3.0),
        ),
        max_size=30,
    )
)
@hypothesis.settings(derandomize=True, max_examples=200)
def test_a_part_never_outlasts_the_lease_under_which_it_was_counted(steps):
    """Guards against a part that goes on under a lease nobody was told of."""
    lease = rate_lease.RateLease()
    now = 0.0
    counted_until = -float("inf")
    ends_at = -float("inf")
    is_counted = False
    is_running = False
    earlier = 0
    for kind, span_s in steps:
        now += span_s
        if kind == "begin":
            earlier = lease.number
            ends_at = now + _LEASE_S
            is_running, is_counted = True, False
            lease.begin(ends_at)
        elif kind == "renew":
            if is_running:
                ends_at = max(ends_at, now + _LEASE_S)
            lease.renew(now + _LEASE_S)
        elif kind == "end":
            is_running = is_counted = False
            lease.end()
        elif kind == "confirm":
            is_counted = is_running
            assert lease.confirm(lease.number) is is_running
        elif earlier != lease.number:
            assert not lease.confirm(earlier)
        if is_counted:
            counted_until = ends_at
        assert lease.until == counted_until
        assert lease.is_counted is is_counted


@pytest.mark.loopback
async def test_a_node_keeps_its_lease_through_another_one(tmp_path):
    """Guards against a message that one side of a real link does not know."""
    async with mesh_fleet.running(tmp_path) as fleet:
        for name in ("one", "two"):
            await fleet.add_machine(name)
        await fleet.wait_until_version(1)
        await fleet.wait_until_settled()
        node = fleet.nodes["one"]
        lease, until = node.rate_lease.number, node.rate_lease.until
        node.platform = interfaces.Platform(
            platform_store.Store(launcher.free_address()),
            front_end.FrontEnd(),
            announcements.Codecs(),
        )

        async def is_renewed():
            return node.rate_lease.until > until + node.lease_s

        await waiting.until(is_renewed, "the lease is renewed")
        assert not node.reaches_store
        assert node.rate_lease.number == lease
        assert fleet.nodes["two"].fleet.get("one") is not None
