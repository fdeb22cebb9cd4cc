"""One node of each zone reads the store for the others."""

import dataclasses

import pytest
import trio

from common import mesh_fleet
from common import waiting
from sassafras_node.mesh.store import members
from sassafras_policy.mesh import change_log
from sassafras_policy.mesh import readers
from sassafras_standins.fleet import launcher
from sassafras_wire.http import pool
from sassafras_wire.mesh import link_messages
from sassafras_wire.store import client as store_client

_VALID_S = 4.0
_NAMES = tuple(f"node-{number}" for number in range(12))


def test_all_nodes_choose_the_same_candidates():
    """Guards against a zone in which every node reads for itself."""
    views = {readers.choose("zone-a", name, _NAMES) for name in _NAMES}
    assert len({view.candidates for view in views}) == 1
    assert sum(view.is_reader for view in views) == 1


def test_zones_spread_the_role():
    """Guards against one node that reads for several zones' worth of load."""
    first = {
        readers.choose(f"zone-{n}", "x", _NAMES).candidates[0]
        for n in range(40)
    }
    assert len(first) > 6


def test_the_next_candidate_follows_when_the_reader_is_unusable():
    """Guards against a zone without a reader."""
    before = readers.choose("zone-a", "x", _NAMES).candidates
    left = [name for name in _NAMES if name != before[0]]
    after = readers.choose("zone-a", "x", left).candidates
    assert after[:2] == before[1:]


def test_a_node_that_knows_no_other_reads_itself():
    """Guards against a node that waits for others which it cannot reach."""
    assert readers.choose("zone-a", "x", ["x"]).is_reader
    assert readers.choose("zone-a", "x", []).is_reader


def test_every_node_reads_before_its_proof_expires():
    """Guards against refusals of keys while the store is reachable."""
    normal_age_s = 2 * readers.wait_s(_VALID_S) + readers.ping_interval_s(
        _VALID_S
    )
    for name in _NAMES:
        view = readers.choose("zone-a", name, _NAMES)
        limit_s = view.read_after_age_s(_VALID_S)
        assert limit_s < 0.85 * _VALID_S
        if not view.is_reader:
            assert limit_s > normal_age_s


def test_candidates_read_before_the_others():
    """Guards against a store that all nodes of a zone call at once."""
    limits = {
        name: readers.choose("zone-a", name, _NAMES).read_after_age_s(_VALID_S)
        for name in _NAMES
    }
    ranked = readers.choose("zone-a", "x", _NAMES).candidates
    ordered = sorted(limits, key=limits.__getitem__)
    assert tuple(ordered[:3]) == ranked
    assert len(set(limits.values())) > len(_NAMES) // 2


_SIZE = 5


async def _with_zone(tmp_path, check):
    async with mesh_fleet.running(tmp_path) as fleet:
        for number in range(_SIZE):
            await fleet.add_machine(f"m{number}")
        await fleet.wait_until_settled()
        await _until(
            lambda: len(_readers(fleet)) == 1, "one node reads the store"
        )
        with trio.fail_after(30):
            await check(fleet)


def _readers(fleet):
    return [
        name for name, node in fleet.nodes.items() if node.readers.is_reader
    ]


async def _until(condition, description):
    async def check():
        return condition()

    await waiting.until(check, description)


@pytest.mark.loopback
async def test_calls_to_the_store_do_not_grow_with_the_zone(tmp_path):
    """Guards against calls of each node in steady state.

    Renewals of leases remain; the store counts each as a tenth of a call.
    """

    async def check(fleet):
        await trio.sleep(2.0)
        fleet.store.calls.clear()
        await trio.sleep(3.0)
        calls = sum(
            count
            for name, count in fleet.store.calls.items()
            if "/kv-keep/" not in name
        )
        # Those of the reader, and a few of the others.
        reader = fleet.nodes[_readers(fleet)[0]]
        assert calls <= 3.0 / readers.wait_s(reader.max_proof_age_s) + 4
        assert all(node.is_ready for node in fleet.nodes.values())

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_a_configuration_reaches_the_nodes_that_do_not_read(tmp_path):
    """Guards against a configuration that only the reader applies."""

    async def check(fleet):
        fleet.configure(2)
        with trio.fail_after(2.0):
            await fleet.wait_until_version(2)

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_another_node_reads_when_the_reader_dies(tmp_path):
    """Guards against a withdrawn key that works on, or a zone that refuses."""

    async def check(fleet):
        (name,) = _readers(fleet)
        fleet.kill_node(name)
        fleet.nodes.pop(name)
        fleet.configure(2)
        ready = True

        def has_version():
            nonlocal ready
            ready = ready and all(n.is_ready for n in fleet.nodes.values())
            return all(n.version == 2 for n in fleet.nodes.values())

        with trio.fail_after(2.0):
            await _until(has_version, "version 2 without the reader")
        await trio.sleep(_VALID_S)
        assert ready
        assert all(node.is_ready for node in fleet.nodes.values())

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_a_reader_that_loses_the_store_hands_the_role_on(tmp_path):
    """Guards against a zone that depends on a node which the store rejects."""

    async def check(fleet):
        (name,) = _readers(fleet)
        runtime = fleet.nodes[name]
        # Nothing listens there: each call of this node is refused.
        runtime.platform.store._pool = pool.ConnectionPool(
            launcher.free_address(),
            "store.call",
            size=4,
            body_limit=1000,
            connect_timeout_s=0.5,
        )
        await _until(
            lambda: name not in _readers(fleet) and len(_readers(fleet)) == 1,
            "another node reads",
        )
        fleet.configure(2)
        with trio.fail_after(2.0):
            await fleet.wait_until_version(2)
        await trio.sleep(_VALID_S)
        assert runtime.is_ready

    await _with_zone(tmp_path, check)


# A waiting call that is cut off fails after its wait and the client's time-out.
_TIME_OUT_S = 0.8 + 1.0


class _CuttableStore:
    """The client of a store; once it is cut off, no response arrives."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False

    def __getattr__(self, name):
        async def call(*arguments):
            result = await getattr(self._store, name)(*arguments)
            if self.is_cut:
                await trio.sleep(_TIME_OUT_S)
                raise store_client.StoreUnavailableError(name, "store", "cut")
            return result

        return call


@pytest.mark.loopback
@pytest.mark.parametrize("apply_s", [2.0, 1.0])
@pytest.mark.parametrize("young_s", [0.0, 0.1, 0.7])
async def test_a_change_is_in_force_in_time_without_the_reader(
    tmp_path, apply_s, young_s
):
    """Guards against a withdrawn key that works at calm nodes (CONFIG).

    A review cut the reader of a zone off from the store shortly after a change
    had renewed the proofs of the other nodes, so that they took long to notice.
    """

    async def check(fleet):
        for node in fleet.nodes.values():
            node.settings = dataclasses.replace(
                node.settings,
                bounds=dataclasses.replace(
                    node.settings.bounds, configuration_apply_s=apply_s
                ),
            )
            node.platform = dataclasses.replace(
                node.platform, store=_CuttableStore(node.platform.store)
            )
        # Until the calls that were sent before have ended.
        await trio.sleep(2.0)
        (name,) = _readers(fleet)
        fleet.configure(2)
        await fleet.wait_until_version(2)
        await trio.sleep(young_s)
        fleet.nodes.pop(name).platform.store.is_cut = True
        fleet.configure(3)
        with trio.fail_after(apply_s):
            await fleet.wait_until_version(3)

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_members_come_and_go_at_nodes_that_do_not_read(tmp_path):
    """Guards against calls to nodes that have left, or new ones unused."""

    async def check(fleet):
        await fleet.add_machine("new")
        await fleet.wait_until_settled()
        fleet.nodes["new"].drain.requested.set()
        node = fleet.nodes.pop("new")
        node_id = node.settings.host.node_id
        await _until(
            lambda: all(
                n.fleet.get(node_id) is None for n in fleet.nodes.values()
            ),
            "the node that left is gone everywhere",
        )

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_entries_that_lapsed_are_written_again(tmp_path):
    """Guards against live nodes that are forgotten after an outage."""

    async def check(fleet):
        for node in list(fleet.nodes.values()):
            fleet.store._end_lease(node.lease)
        await _until(
            lambda: all(
                len(n.fleet.listed_entries) == _SIZE - 1
                for n in fleet.nodes.values()
            ),
            "all entries are back",
        )

    await _with_zone(tmp_path, check)


@pytest.mark.loopback
async def test_a_change_is_relayed_without_the_other_entries(
    tmp_path, monkeypatch
):
    """Guards against messages that grow with the square of the fleet."""
    sizes = []
    original = link_messages.encode_members

    def record(entries):
        sizes.append(len(entries))
        return original(entries)

    async def check(fleet):
        await trio.sleep(2.0)
        monkeypatch.setattr(link_messages, "encode_members", record)
        await fleet.add_machine("new")
        await fleet.wait_until_settled()
        assert sizes
        assert max(sizes) <= 2

    await _with_zone(tmp_path, check)


def test_a_log_knows_the_changes_after_each_revision():
    """Guards against entries that a node never gets."""
    log = change_log.ChangeLog()
    assert log.since(0) is None
    log.restart(10)
    log.record("a", 11)
    log.record("b", 13)
    log.record("a", 15)
    assert log.since(9) is None
    assert log.since(10) == {"a", "b"}
    assert log.since(13) == {"a"}
    assert log.since(15) == frozenset()


def test_a_long_log_starts_anew():
    """Guards against a log that grows with every node that ever was."""
    log = change_log.ChangeLog()
    log.restart(1)
    for number in range(5000):
        log.record(f"node-{number}", 2 + number)
    assert log.since(1) is None
    changed = log.since(4990)
    assert changed is not None
    assert {f"node-{n}" for n in range(4989, 5000)} == changed


@pytest.mark.loopback
async def test_changes_with_a_gap_are_not_applied(tmp_path):
    """Guards against entries that are missing and never asked for."""

    async def check(fleet):
        node = next(iter(fleet.nodes.values()))
        revision = node.members.revision
        gone = next(iter(node.fleet.entries)).node_id
        members.apply_relayed(
            node,
            link_messages.MembersUpdate(
                revision + 9,
                link_messages.encode_members([]),
                since=revision + 5,
                removed=(gone,),
            ),
            "test",
        )
        assert node.members.revision == revision
        assert gone in {e.node_id for e in node.fleet.listed_entries}

    await _with_zone(tmp_path, check)
