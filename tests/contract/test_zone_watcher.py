"""Election of an availability zone's watcher and its load on the store."""

import contextlib

import pytest
import trio

from common import nodes
from common import waiting
from sassafras_node.store import keys
from sassafras_node.store import zone_lease
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.store import faults
from sassafras_standins.store import server
from sassafras_wire.configuration import models as configuration_models

pytestmark = pytest.mark.loopback


@contextlib.asynccontextmanager
async def _store(revision=1):
    store = server.StoreServer()
    address = launcher.free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.listen, address)
        _put(store, revision)
        try:
            yield store, address
        finally:
            nursery.cancel_scope.cancel()


def _put(store, revision):
    key = keys.CONFIGURATION.encode()
    entry = store.data.entries.get(key)
    content = configuration_models.encode(samples.document(revision=revision))
    assert store.data.put_if(
        key, content, entry.mod_revision if entry else 0, 0
    )


def _holder(store, zone="zone-0"):
    entry = store.data.entries.get(keys.zone_watcher(zone).encode())
    return entry.value.decode() if entry else None


def _watchers(fleet):
    return [h for h in fleet.hosts if h.runtime.watcher_active.is_set()]


async def _wait_for_one_watcher(fleet, store, excluded=""):
    async def check():
        watching = {host.node_id for host in _watchers(fleet)}
        holder = _holder(store)
        return holder != excluded and watching - {excluded} == {holder}

    await waiting.until(check, "the lease's holder is the only watcher")
    return next(h for h in fleet.hosts if h.node_id == _holder(store))


async def _wait_for_revision(fleet, revision):
    async def check():
        return all(
            host.runtime.configuration.revision == revision
            for host in fleet.hosts
        )

    await waiting.until(check, f"revision {revision} is active everywhere")


async def test_the_watcher_spreads_revisions_and_is_replaced_when_it_dies():
    """Guards against a zone that loses the store with its watcher."""
    async with (
        _store() as (store, address),
        nodes.fleet(5, store_address=address, zones=1) as fleet,
    ):
        first = await _wait_for_one_watcher(fleet, store)
        await _wait_for_revision(fleet, 1)
        _put(store, 2)
        started = trio.current_time()
        await _wait_for_revision(fleet, 2)
        assert trio.current_time() - started < 3.0
        first.kill()
        fleet.hosts.remove(first)
        second = await _wait_for_one_watcher(fleet, store, first.node_id)
        assert second is not first
        _put(store, 3)
        await _wait_for_revision(fleet, 3)


async def test_only_the_first_few_nodes_of_a_zone_call_the_store():
    """Guards against store calls that grow with the size of the fleet."""
    async with (
        _store() as (store, address),
        nodes.fleet(9, store_address=address, zones=1) as fleet,
    ):
        await _wait_for_one_watcher(fleet, store)
        await _wait_for_revision(fleet, 1)
        await trio.sleep(4.0)
        before = [host.runtime.store.calls for host in fleet.hosts]
        await trio.sleep(4.0)
        calls = [
            host.runtime.store.calls - old
            for host, old in zip(fleet.hosts, before, strict=True)
        ]
        busy = [host for host, n in zip(fleet.hosts, calls, strict=True) if n]
        assert len(busy) <= zone_lease.CANDIDATE_COUNT
        # Renewals of the lease, five in two lease times.
        assert sum(calls) <= 2 * zone_lease.CANDIDATE_COUNT


async def test_a_watcher_that_was_paused_beyond_its_lease_campaigns_again(
    monkeypatch,
):
    """Guards against a watcher that continues after its lease has expired."""
    async with (
        _store() as (store, address),
        nodes.fleet(4, store_address=address, zones=1) as fleet,
    ):
        paused = await _wait_for_one_watcher(fleet, store)
        # The process sees its clock jump, and its lease is gone.
        offset = 0.0
        original = paused.runtime.clock.now_with_suspend
        monkeypatch.setattr(
            paused.runtime.clock,
            "now_with_suspend",
            lambda: original() + offset,
        )
        entry = store.data.entries[keys.zone_watcher("zone-0").encode()]
        store.data.revoke(entry.lease)
        offset = 60.0

        async def another_or_the_same():
            return len(_watchers(fleet)) == 1 and _holder(store) == (
                _watchers(fleet)[0].node_id
            )

        await trio.sleep(1.0)
        await waiting.until(another_or_the_same, "one holder watches again")
        _put(store, 2)
        await _wait_for_revision(fleet, 2)


@pytest.mark.parametrize("mode", [faults.Mode.DOWN, faults.Mode.SLOW])
async def test_an_outage_of_the_store_ends_the_watch_and_nothing_else(mode):
    """Guards against an outage that affects calls or has lasting effects."""
    async with (
        _store() as (store, address),
        nodes.fleet(3, store_address=address, zones=1) as fleet,
    ):
        await _wait_for_one_watcher(fleet, store)
        await _wait_for_revision(fleet, 1)
        store.faults.delay_s = 30.0
        store.faults.mode = mode
        store.data.changed.set()
        await trio.sleep(4.0)
        assert not _watchers(fleet)
        assert all(h.runtime.configuration.revision == 1 for h in fleet.hosts)
        assert fleet.sees_all_alive()
        store.faults.mode = faults.Mode.NORMAL
        _put(store, 2)
        await _wait_for_revision(fleet, 2)


async def test_a_node_without_a_store_gets_the_newest_revision_from_its_peers():
    """Guards against a node that keeps an old revision without the store."""
    async with (
        _store(revision=4) as (store, address),
        nodes.fleet(4, store_address=address, zones=1) as fleet,
    ):
        await _wait_for_revision(fleet, 4)
        cut_off = nodes.make_host_like(
            fleet.hosts[0], store={"endpoints": (launcher.free_address(),)}
        )
        await fleet.start(cut_off)
        fleet.hosts.append(cut_off)
        with trio.fail_after(2.0):
            await _wait_for_revision(fleet, 4)
        _put(store, 5)
        with trio.fail_after(3.0):
            await _wait_for_revision(fleet, 5)


async def test_a_node_without_seeds_finds_its_peers_in_the_store():
    """Guards against nodes that depend on seeds that are no longer alive."""
    async with (
        _store() as (store, address),
        nodes.fleet(3, store_address=address, zones=1) as fleet,
    ):

        async def listed():
            key = keys.zone_members("zone-0").encode()
            entry = store.data.entries.get(key)
            return entry and entry.value.count(b"node_id") == 3

        await waiting.until(listed, "the watcher has listed the zone's nodes")
        newcomer = nodes.make_host_like(fleet.hosts[0], peers={"seeds": ()})
        await fleet.start(newcomer)
        fleet.hosts.append(newcomer)

        async def known():
            return fleet.sees_all_alive()

        await waiting.until(known, "the newcomer and the fleet know each other")
