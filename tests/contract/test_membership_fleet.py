"""Propagation of membership and configuration among nodes of one process."""

import collections
import dataclasses
import itertools

import pytest
import trio

from common import nodes
from common import waiting
from sassafras_node.membership import neighbours
from sassafras_node.peers import handlers
from sassafras_policy.membership import records
from sassafras_policy.membership import table as tables
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.peer import models

pytestmark = pytest.mark.loopback


async def _all_alive(fleet):
    async def check():
        return fleet.sees_all_alive()

    await waiting.until(check, "every node sees every other alive")


async def _within(limit_s, condition, what):
    started = trio.current_time()

    async def check():
        return condition()

    await waiting.until(check, what)
    assert trio.current_time() - started <= limit_s, what


def _sees(host, node_id, status):
    record = host.record_of(node_id)
    return record is not None and record.status is status


async def test_changes_reach_all_of_twelve_nodes_within_a_second():
    """Guards against changes that are delayed by a heartbeat at each hop."""
    async with nodes.fleet(12) as fleet:
        await _all_alive(fleet)
        for number, host in enumerate(fleet.hosts[:4]):
            host.runtime.table.update_own(slots=100 + number)
            await _within(
                1.0,
                lambda host=host, number=number: all(
                    other.record_of(host.node_id).slots == 100 + number
                    for other in fleet.hosts
                ),
                "the slots are known everywhere",
            )
        document = samples.document(revision=3)
        handlers.put_into_force(fleet.hosts[5].runtime, document, "test")
        await _within(
            1.0,
            lambda: all(
                host.runtime.configuration.revision == 3 for host in fleet.hosts
            ),
            "the revision is active everywhere",
        )
        await _within(
            4.0,
            lambda: all(
                host.record_of(other.node_id).config_revision == 3
                for host in fleet.hosts
                for other in fleet.hosts
            ),
            "each node's record shows its revision",
        )


async def test_a_crashed_node_is_dead_and_a_stopped_one_has_left():
    """Guards against nodes that stay in the table after they are gone."""
    async with nodes.fleet(6, forget_after_s=4.0) as fleet:
        await _all_alive(fleet)
        crashed, stopped, *rest = fleet.hosts
        crashed.kill()
        stopped.stop()
        await _within(
            3.0,
            lambda: all(
                _sees(host, stopped.node_id, records.Status.LEFT)
                for host in rest
            ),
            "all nodes see that the node has left",
        )
        await _within(
            4.0,
            lambda: all(
                _sees(host, crashed.node_id, records.Status.DEAD)
                for host in rest
            ),
            "all nodes see that the node is dead",
        )
        await _within(
            8.0,
            lambda: all(len(host.runtime.table.all) == 4 for host in rest),
            "the gone nodes are forgotten",
        )
        await trio.sleep(2.0)
        assert all(len(host.runtime.table.all) == 4 for host in rest)
        await fleet.start(crashed)
        await _within(
            4.0,
            lambda: all(
                _sees(host, crashed.node_id, records.Status.ALIVE)
                for host in rest
            ),
            "the node is back under its old address",
        )


async def test_a_neighbour_that_never_accepts_a_connection_is_dead():
    """Guards against a detector that watches only established links."""
    async with nodes.fleet(3) as fleet:
        await _all_alive(fleet)
        address = launcher.free_address()
        ghost = dataclasses.replace(
            fleet.hosts[0].runtime.table.own, node_id=address
        )
        fleet.hosts[1].runtime.table.merge([ghost])
        await _within(
            5.0,
            lambda: all(
                _sees(host, address, records.Status.DEAD)
                for host in fleet.hosts
            ),
            "the unreachable node is dead",
        )


async def test_a_partitioned_fleet_merges_again(monkeypatch):
    """Guards against a partition that persists after the network has healed.

    No target may be dropped while both sides report each other dead.
    """
    partition = nodes.NetworkPartition(monkeypatch)
    async with nodes.fleet(8) as fleet:
        await _all_alive(fleet)
        one, other = fleet.hosts[:4], fleet.hosts[4:]
        await partition.between(
            [host.node_id for host in one], [host.node_id for host in other]
        )
        await _within(
            9.0,
            lambda: all(
                _sees(near, far.node_id, records.Status.DEAD)
                and _sees(far, near.node_id, records.Status.DEAD)
                for near in one
                for far in other
            ),
            "each half considers the other dead",
        )
        handlers.put_into_force(
            one[0].runtime, samples.document(revision=5), "test"
        )
        handlers.put_into_force(
            other[0].runtime, samples.document(revision=4), "test"
        )
        dropped = []
        for half in (one, other):
            for host in half:
                own_side = {member.node_id for member in half}

                def watch(record, own_side=own_side):
                    gone = record.status >= records.Status.DEAD
                    if gone and record.node_id in own_side:
                        dropped.append(record)

                host.runtime.table.subscribe(watch)
        partition.heal()
        await _within(
            15.0,
            lambda: (
                fleet.sees_all_alive()
                and all(
                    host.runtime.configuration.revision == 5
                    for host in fleet.hosts
                )
            ),
            "the halves are one fleet with the newest configuration",
        )
        assert dropped == []


async def test_a_revision_never_reverts_and_an_invalid_one_is_refused():
    """Guards against a stale or faulty peer that undoes a change."""
    async with nodes.fleet(3) as fleet:
        await _all_alive(fleet)
        runtime = fleet.hosts[0].runtime
        handlers.put_into_force(runtime, samples.document(revision=7), "test")
        good = configuration_models.encode(samples.document(revision=9))
        for content in (
            configuration_models.encode(samples.document(revision=6)),
            configuration_models.encode(samples.document(revision=7)),
            good.replace(b'"status"', b'"unheard-of"', 1),
            good.replace(b'"revision":9', b'"revision":"ninth"'),
            good[:-20],
            b"\xff\xfe",
            b"",
        ):
            message = models.DocumentMessage(
                kind=handlers.CONFIGURATION, content=content
            )
            handlers.offer_document(runtime, message, "test")
            assert runtime.configuration.revision == 7
        await _within(
            2.0,
            lambda: all(
                host.runtime.configuration.revision == 7 for host in fleet.hosts
            ),
            "the newest valid revision is active everywhere",
        )


@pytest.mark.parametrize("size", [1, 2, 3, 4, 12, 24, 25, 200])
def test_neighbours_are_distinct_and_reach_all_in_few_hops(size):
    """Guards against a number of hops that grows linearly with N."""
    ids = [f"10.0.0.{number}:7401" for number in range(size)]
    known = [
        records.NodeRecord(node, "zone-a", 1, 1, records.Status.ALIVE)
        for node in ids
    ]
    successors = {}
    for record in known:
        table = tables.Table(record)
        table.merge(known)
        successors[record.node_id] = neighbours.Neighbours(table, ()).choose(0)
    for node, chosen in successors.items():
        assert len(set(chosen)) == min(neighbours.NEIGHBOUR_COUNT, size - 1)
        assert node not in chosen
    in_degrees = collections.Counter(itertools.chain(*successors.values()))
    assert max(in_degrees.values(), default=0) <= 2 * neighbours.NEIGHBOUR_COUNT
    if size <= 24:
        assert len(set(in_degrees.values())) <= 1
    hops, reached, newest = 0, {ids[0]}, {ids[0]}
    while newest:
        newest = {n for node in newest for n in successors[node]} - reached
        reached |= newest
        hops += bool(newest)
    assert reached == set(ids)
    assert hops <= 10


def test_a_node_without_peers_tries_all_its_seeds_in_turn():
    """Guards against three failed seeds that keep a node out of the fleet."""
    own = records.NodeRecord("own", "zone-a", 1, 1, records.Status.ALIVE)
    seeds = tuple(f"seed-{number}" for number in range(9))
    chooser = neighbours.Neighbours(tables.Table(own), (*seeds, "own"))
    tried = {seed for now in range(0, 200, 5) for seed in chooser.choose(now)}
    assert tried == set(seeds)
