"""The nodes that a node keeps control links to."""

import collections

import pytest
import trio

from common import mesh_fleet
from common import waiting
from sassafras_policy.configuration import document
from sassafras_policy.limits import limiters
from sassafras_policy.limits import pooled_share
from sassafras_policy.membership import roster
from sassafras_policy.mesh import linking
from sassafras_policy.mesh import readers
from sassafras_policy.mesh import targets
from sassafras_standins.platform import store as store_standin

_ZONES = 6
_MAX_LINKS = 16


def _entry(number, **changes):
    values = {
        "node_id": f"node-{number}",
        "incarnation": 1,
        "availability_zone": f"zone-{number % _ZONES}",
        "call_address": "",
        "link_address": "",
        **changes,
    }
    return targets.NodeEntry(**values)


def _choices(size, unusable=()):
    entries = [_entry(number) for number in range(size)]
    return {
        own.node_id: linking.choose(
            own,
            [entry for entry in entries if entry is not own],
            unusable,
            needs_all=False,
        )
        for own in entries
    }


@pytest.mark.parametrize("size", [2, 6, 30, 195, 800])
def test_the_number_of_links_does_not_grow_with_the_fleet(size):
    """Guards against pings that grow with the square of the fleet."""
    choices = _choices(size)
    assert all(own not in chosen for own, chosen in choices.items())
    assert max(map(len, choices.values())) <= 8
    assert min(map(len, choices.values())) >= min(size - 1, 5)


def test_the_links_outside_the_zone_are_spread():
    """Guards against nodes that serve the pings of the whole fleet."""
    choices = _choices(195)
    zones = {f"node-{n}": n % _ZONES for n in range(195)}
    incoming = collections.Counter(
        chosen_id
        for own, chosen in choices.items()
        for chosen_id in chosen
        if zones[chosen_id] != zones[own]
    )
    assert len(incoming) > 180
    assert max(incoming.values()) <= 4 * 5


def test_every_node_is_linked_to_the_readers_of_its_zone():
    """Guards against nodes that get no configuration from their reader."""
    names = [f"node-{n}" for n in range(0, 195, _ZONES)]
    candidates = readers.choose("zone-0", "x", names).candidates
    for own, chosen in _choices(195).items():
        if own in names:
            assert set(candidates) - {own} <= chosen


def test_an_outage_of_the_store_does_not_link_all_nodes():
    """Guards against a full mesh of links while no node reaches the store."""
    choices = _choices(195, {f"node-{n}" for n in range(195)})
    assert max(map(len, choices.values())) <= _MAX_LINKS


def test_unusable_candidates_keep_their_links_and_others_are_added():
    """Guards against nodes whose return nobody notices."""
    own = _entry(0)
    others = [_entry(number) for number in range(1, 195)]
    before = linking.choose(own, others, (), needs_all=False)
    lost = {n for n in before if int(n.split("-")[1]) % _ZONES == 0}
    after = linking.choose(own, others, lost, needs_all=False)
    assert before <= after
    assert len(after) == len(before) + len(lost)


@pytest.mark.parametrize("size", [3, 17, 18, 60, 195])
@pytest.mark.parametrize("burst", [1.0, 50.0, 5000.0])
def test_a_rate_is_divided_only_where_all_nodes_are_linked(size, burst):
    """Guards against shares that add up to more than the rate.

    A node that does not know the demand at half of the others takes twice the
    share that it is due.
    """
    limiter = pooled_share.PooledShare()
    limiter.configure(
        limiters.LimiterContext(
            organisations=(document.Organisation("acme", 50.0, burst),),
            own_id="node-0",
            hosts=size,
            roster=roster.Roster(),
            settled=True,
            tolerance=limiters.Tolerance(ratio=0.1, requests=20.0),
            nodes=tuple(f"node-{n}" for n in range(size)),
        ),
        0.0,
    )
    chosen = linking.choose(
        _entry(0),
        [_entry(number) for number in range(1, size)],
        (),
        needs_all=limiter.divides_rates,
    )
    assert limiter.divides_rates == (size <= 17)
    if limiter.divides_rates:
        assert len(chosen) == size - 1
    else:
        assert len(chosen) <= 8


def test_leaving_nodes_are_not_linked():
    """Guards against proofs that end with a node which is about to stop."""
    own = _entry(0)
    others = [
        _entry(number, is_leaving=number % 2 == 0) for number in range(1, 40)
    ]
    chosen = linking.choose(own, others, (), needs_all=False)
    assert chosen
    assert all(int(node_id.split("-")[1]) % 2 for node_id in chosen)


@pytest.mark.loopback
async def test_a_replaced_target_is_found_during_an_outage_of_the_store(
    tmp_path,
):
    """Guards against calls that name a target which has been replaced.

    The nodes have no link to each other here, as in a large fleet.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(linking, "choose", lambda *_, **__: set())
        async with mesh_fleet.running(tmp_path) as fleet:
            await fleet.add_machine("first", service="back")
            await fleet.add_machine("second")
            await fleet.wait_until_settled()
            await fleet.wait_until_version(1)
            fleet.store.mode = store_standin.Mode.BUSY
            endpoint = fleet.endpoints["second"]
            endpoint.restart()
            await endpoint.send_heartbeat()

            async def is_served():
                reply = await fleet.send_request("first", path="/open/1")
                return reply.status == 200

            with trio.fail_after(3):
                await waiting.until(is_served, "the new target is called")
