"""A store that comes back from an older copy."""

import json

import pytest
import trio

from common import store_fleet
from sassafras_node.mesh import interfaces
from sassafras_node.mesh.peers import link_session
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import own_entry
from sassafras_platform import store as platform_store
from sassafras_policy.calls import messages
from sassafras_policy.mesh import change_log
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import fleet as fleets
from sassafras_policy.mesh import targets
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client
from sassafras_wire.store import client as store_client

_READY = targets.State.READY
_EVACUATION = "op/evacuate/zone-z"


def test_a_newer_era_goes_before_any_revision():
    """Guards against revisions of two eras that are compared."""
    assert eras.Position(1, 900) < eras.Position(2, 3)
    assert eras.Position(2, 3) < eras.Position(2, 4)


def test_a_log_does_not_reach_into_an_older_era():
    """Guards against changes that a node misses behind a reused revision."""
    log = change_log.ChangeLog()
    log.restart(eras.Position(2, 90))
    log.record("a", eras.Position(2, 95))
    assert log.since(eras.Position(1, 93)) is None
    assert log.since(eras.Position(2, 93)) == {"a"}


def test_a_first_era_is_complete_at_once():
    """Guards against delays at stores that never came back."""
    era = eras.StoreEra()
    assert era.is_complete(0.0)
    assert not era.record(0, 5, 0.0)
    assert era.is_complete(0.0)
    assert not era.may_hold_removed(0.0, 6.0)


def test_an_older_era_changes_nothing():
    """Guards against a delayed response that ends the newest era."""
    era = eras.StoreEra()
    era.record(2, 5, 0.0)
    assert not era.record(1, 900, 1.0)
    assert era.era == 2
    assert era.record(3, 4, 1.0)
    assert not era.record(3, 6, 2.0)


@pytest.mark.parametrize(
    ("version", "written_at", "requested_at", "is_proof"),
    [
        # The copy has an older version than the node.
        (4, (2, 80), 103.0, False),
        # The same version, which the operator may have replaced since.
        (5, (2, 80), 101.9, False),
        (5, (2, 80), 102.0, True),
        # Written after the return, so it is the operator's newest.
        (5, (2, 91), 100.1, True),
        (5, (2, 90), 100.1, False),
        (4, (2, 91), 100.1, False),
    ],
)
def test_a_copy_proves_what_it_cannot_lack(
    version, written_at, requested_at, is_proof
):
    """Guards against a withdrawn key that an older copy keeps in use."""
    era = eras.StoreEra()
    era.record(1, 100, 0.0)
    era.record(2, 90, 100.0)
    stored = eras.StoredConfiguration(
        eras.Position(2, 95), eras.Position(*written_at), version
    )
    assert stored.proves_newest(5, era, requested_at) is is_proof


def test_a_response_of_an_older_era_proves_nothing():
    """Guards against a proof that was sent before the store came back."""
    era = eras.StoreEra()
    era.record(2, 90, 0.0)
    stored = eras.StoredConfiguration(
        eras.Position(1, 95), eras.Position(1, 80), 5
    )
    assert not stored.proves_newest(5, era, 100.0)


def _entry(number, *, is_leaving=False, incarnation=1):
    return targets.NodeEntry(
        "a",
        incarnation,
        "zone-a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        is_leaving=is_leaving,
        target=targets.Announcement(
            "t", "front", "127.0.0.1:3", 8, _READY, 0.0, 1, 1
        ),
        number=number,
    )


def test_a_copy_does_not_bring_back_a_node_that_left():
    """Guards against calls to a target that has left."""
    members = fleets.Fleet("own", 2.5, 6.0)
    members.update(_entry(1))
    members.update(_entry(2, is_leaving=True))
    members.lapse("a", 0.0)
    assert members.expire(2.5) == ["a"]
    members.update(_entry(1), is_copy=True)
    assert members.get("a") is None
    # The next process of the node.
    members.update(_entry(1, incarnation=2), is_copy=True)
    assert [e.incarnation for e in members.serving("front")] == [2]


def test_an_entry_that_a_copy_lacks_is_kept_as_long_as_its_lease():
    """Guards against the share of a rate that two nodes use."""
    members = fleets.Fleet("own", 2.5, 6.0)
    members.update(_entry(1))
    members.keep_only(set(), 10.0, is_copy=True)
    assert members.expire(15.9) == []
    assert members.expire(16.0) == ["a"]


class _Answers:
    """Takes the place of connections; gives prepared responses."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def exchange(self, request):
        del request
        era, body = self.answers.pop(0)
        headers = () if era is None else (("store-era", era),)
        return client.Response(200, headers, json.dumps(body).encode())


def _store(*answers):
    store = platform_store.Store("127.0.0.1:1")
    store._pool = _Answers(*answers)
    return store


def _page(*keys, more=False, revision=7):
    return {
        "items": [{"Key": key, "Value": "", "Revision": 3} for key in keys],
        "MorePages": more,
        "CurrentRev": revision,
    }


@pytest.mark.parametrize(("header", "era"), [(None, 0), ("0", 0), ("12", 12)])
async def test_the_adapter_reads_the_era(header, era):
    """Guards against stores that name no era."""
    listing = await _store((header, _page())).get_prefix("x/")
    assert listing.position == eras.Position(era, 7)


@pytest.mark.parametrize("header", ["-1", "x", "1.5", "9" * 5000, "٣"])
async def test_an_unreadable_era_makes_a_response_invalid(header):
    """Guards against one odd header that ends a task."""
    with pytest.raises(store_client.StoreUnavailableError):
        await _store((header, _page())).get_prefix("x/")


async def test_pages_of_two_eras_are_not_joined():
    """Guards against a listing of which the store never had all entries."""
    store = _store(
        ("1", _page("x/a", more=True, revision=9)),
        ("2", _page("x/b", revision=5)),
        ("2", _page("x/a", more=True, revision=5)),
        ("2", _page("x/c", revision=6)),
    )
    listing = await store.get_prefix("x/")
    assert [item.key for item in listing.items] == ["x/a", "x/c"]
    assert listing.position == eras.Position(2, 5)


async def test_a_watch_does_not_go_on_in_another_era():
    """Guards against changes that are missed behind a reused revision."""
    store = _store(("2", {"events": [], "CurrentRev": 95}))
    with pytest.raises(interfaces.HistoryLostError):
        await store.changes("x/", eras.Position(1, 93), 0.0)


async def _ask(store, method, path, body=None):
    response = await store.handle(
        messages.Request(
            method,
            f"/sassafrasmount/{path}",
            (),
            json.dumps(body).encode() if body is not None else b"",
        )
    )
    return response, json.loads(response.body)


async def test_the_stand_in_comes_back_as_the_pages_say():
    """Guards against drills that lose less than the platform's."""
    store = store_standin.MetadataStore(era=4)
    store.put("x/a", b"1")
    copy = store.copy()
    store.put("x/b", b"2")
    _, granted = await _ask(store, "POST", "kv-lease", {"TtlMs": 5000})
    after = store.revision
    store.come_back(copy)
    response, _ = await _ask(store, "GET", "kv-range?Prefix=x/")
    assert ("store-era", "5") in response.headers
    assert store.keys("x/") == ["x/a"]
    watch = f"kv-watch?Prefix=x/&after={after}&WaitMs=10"
    assert (await _ask(store, "GET", watch))[0].status == 410
    lease = f"kv-keep/{granted['Lease']}"
    assert (await _ask(store, "POST", lease))[0].status == 404
    store.put("x/c", b"3")
    assert store.revision == after
    again = await _ask(store, "POST", "kv-lease", {"TtlMs": 5000})
    assert again[1]["Lease"] == granted["Lease"]


async def _start(fleet, *names):
    for name in names:
        await fleet.start_node(name)
        await store_fleet.until(fleet.nodes[name].target.restored.is_set)
        assert await fleet.announce(name, f"target-{name}", _READY, 1)
    await store_fleet.until(
        lambda: all(
            len(node.fleet.serving(store_fleet.SERVICE)) == len(fleet.nodes) - 1
            and node.is_ready
            for node in fleet.nodes.values()
        )
    )
    await trio.sleep(5.0)


def _ages(fleet):
    now = trio.current_time()
    return {n: node.freshness.age_s(now) for n, node in fleet.nodes.items()}


async def test_a_lost_configuration_stays_active():
    """Guards against a withdrawn key that an older copy brings back."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        fleet.configure(2)
        await store_fleet.until(
            lambda: all(n.version == 2 for n in fleet.nodes.values())
        )
        returned_at = trio.current_time()
        fleet.come_back(copy)
        while trio.current_time() < returned_at + 4.5:
            await trio.sleep(0.1)
            elapsed_s = trio.current_time() - returned_at
            for name, age_s in _ages(fleet).items():
                assert fleet.nodes[name].version == 2
                assert age_s >= elapsed_s - 0.01
        # The store has not had version 2 for longer than a key may be trusted.
        assert not any(node.is_ready for node in fleet.nodes.values())
        fleet.rewrite_configuration()
        await store_fleet.until(
            lambda: all(n.is_ready for n in fleet.nodes.values()), 3.0
        )


async def test_keys_work_while_the_operator_is_late():
    """Guards against refusals between the return and the operator's write."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        fleet.configure(2)
        await trio.sleep(1.0)
        fleet.come_back(copy)
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 6.0:
            if 1.9 < trio.current_time() - returned_at < 2.05:
                fleet.rewrite_configuration()
            assert all(node.is_ready for node in fleet.nodes.values())
            await trio.sleep(0.1)


async def test_keys_work_where_nothing_was_lost():
    """Guards against refusals after a return to a copy with everything."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        fleet.come_back(fleet.store.copy())
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 8.0:
            assert all(node.is_ready for node in fleet.nodes.values())
            await trio.sleep(0.1)


async def test_a_copy_does_not_prove_a_version_that_was_replaced():
    """Guards against a key whose withdrawal only the lost part had."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        # No node has read it when it is lost.
        fleet.configure(2)
        fleet.come_back(copy)
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 1.9:
            await trio.sleep(0.1)
            elapsed_s = trio.current_time() - returned_at
            assert all(a >= elapsed_s - 0.01 for a in _ages(fleet).values())
        fleet.rewrite_configuration()
        await store_fleet.until(
            lambda: all(n.version == 2 for n in fleet.nodes.values()), 1.0
        )
        assert all(age_s < 1.0 for age_s in _ages(fleet).values())


async def test_an_acknowledged_departure_is_written_again():
    """Guards against a target that left and that its next node uses."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        leaving = targets.State.LEAVING
        assert await fleet.announce("one", "target-one", leaving, 2)
        fleet.come_back(copy)
        assert fleet.stored_entry("one").target.state is _READY
        await store_fleet.until(
            lambda: fleet.stored_entry("one").target.state is leaving, 2.5
        )
        # Not acknowledged from the memory of the lost write.
        assert await fleet.announce("one", "target-one", leaving, 3)
        assert fleet.nodes["two"].fleet.serving(store_fleet.SERVICE) == []


async def test_a_departure_is_not_acknowledged_from_a_lost_write():
    """Guards against an acknowledgement that only the process remembers."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        leaving = targets.State.LEAVING
        assert await fleet.announce("one", "target-one", leaving, 2)
        fleet.cut.add("one")
        fleet.come_back(copy)
        await store_fleet.until(
            lambda: fleet.nodes["one"].store_era.era == 2, 3.0
        )
        assert not await fleet.announce("one", "target-one", leaving, 3)


async def test_entries_that_the_copy_has_are_not_written():
    """Guards against writes of every node of a large fleet at each return."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two", "three")
        fleet.store.calls.clear()
        fleet.come_back(fleet.store.copy())
        await trio.sleep(10.0)
        assert not fleet.store.calls["POST /sassafrasmount/kv-txn"]
        assert not fleet.store.calls["POST /sassafrasmount/kv-lease"]
        for node in fleet.nodes.values():
            assert node.lease_era == 2
            assert node.stored_entry_number == node.entry.number


async def test_a_node_that_joined_since_the_copy_writes_its_entry_again():
    """Guards against a node that others forget, and its share of rates."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        await _start(fleet, "three")
        assert len(fleet.nodes["one"].fleet) == 2
        fleet.come_back(copy)
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 10.0:
            assert len(fleet.nodes["one"].fleet) == 2
            await trio.sleep(0.1)
        assert fleet.stored_entry("three") is not None


async def test_a_lease_number_of_another_node_is_not_used():
    """Guards against a node that renews or ends the lease of another one."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one")
        copy = fleet.store.copy()
        await fleet.start_node("two")
        await store_fleet.until(lambda: fleet.nodes["two"].lease)
        number = fleet.nodes["two"].lease
        await trio.sleep(1.0)
        fleet.come_back(copy)
        fleet.store._grant_lease(600_000)
        fleet.store.put("x/other", b"", number)
        await trio.sleep(4.0)
        assert fleet.nodes["two"].lease != number
        await fleet.stop_node("two")
        assert fleet.store.keys("x/") == ["x/other"]


async def test_a_reused_revision_does_not_take_a_write_of_the_era_before():
    """Guards against a compare-and-swap that overwrites an unread entry."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        node = fleet.nodes["one"]
        copy = fleet.store.copy()
        # The entry gets a revision that is lost with the store's content.
        assert await fleet.announce("one", "target-b", _READY, 1)
        await store_fleet.until(
            lambda: node.stored_entry_number == node.entry.number
        )
        lost = node.entry_revision
        assert lost > copy.revision
        fleet.come_back(copy)
        # A late call of an earlier process takes the same revision.
        while fleet.store.revision < lost - 1:
            fleet.store.put("x/filler", b"")
        own_key = entries.key_of("one")
        fleet.store.put(own_key, b"{}")
        assert fleet.store._items[own_key].revision == lost
        taken = []
        original = fleet.store._transaction

        def record(content):
            taken.append(content["ExpectedRevision"][0]["Revision"])
            return original(content)

        fleet.store._transaction = record
        # Another node tells of the new era before this node writes.
        await store_fleet.until(lambda: node.store_era.era == 2, 3.0)
        await trio.sleep(3.0)
        assert taken
        assert taken[0] == 0
        assert fleet.stored_entry("one") == node.entry
        assert node.stored_entry_number == node.entry.number


async def test_a_node_that_is_cut_off_learns_of_the_era_from_another():
    """Guards against a node that compares revisions of two eras for long."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two", "three")
        fleet.cut.add("one")
        copy = fleet.store.copy()
        fleet.configure(2)
        await trio.sleep(1.0)
        fleet.come_back(copy)
        fleet.rewrite_configuration()
        await store_fleet.until(
            lambda: fleet.nodes["one"].store_era.era == 2, 1.5
        )
        await trio.sleep(3.0)
        node = fleet.nodes["one"]
        assert node.version == 2
        assert node.is_ready
        assert node.members.position.era == 2
        fleet.cut.clear()
        await store_fleet.until(
            lambda: node.stored_entry_number == node.entry.number, 5.0
        )


async def test_a_node_that_misses_the_return_catches_up():
    """Guards against state of an old era at a node without any contact."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two", "three")
        copy = fleet.store.copy()
        assert await fleet.announce("one", "target-b", _READY, 1)
        fleet.cut.add("one")
        fleet.cut_links.add("one")
        await trio.sleep(0.5)
        fleet.come_back(copy)
        await trio.sleep(3.0)
        fleet.cut.clear()
        fleet.cut_links.clear()
        node = fleet.nodes["one"]
        await store_fleet.until(lambda: node.store_era.era == 2, 3.0)
        await store_fleet.until(
            lambda: (
                fleet.stored_entry("one") == node.entry
                and node.members.position.era == 2
                and len(node.fleet.listed_entries) == 2
            ),
            8.0,
        )


async def test_a_node_that_stopped_stays_gone():
    """Guards against calls to a node that an older copy lists."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two", "three")
        copy = fleet.store.copy()
        await fleet.stop_node("three")
        others = list(fleet.nodes.values())
        await store_fleet.until(
            lambda: all(len(node.fleet) == 1 for node in others), 6.0
        )
        fleet.come_back(copy)
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 12.0:
            assert all(len(node.fleet) == 1 for node in others)
            await trio.sleep(0.1)


async def test_a_store_that_names_no_era_is_used_as_before():
    """Guards against waits in deployments without such drills."""
    async with store_fleet.running(era=None) as fleet:
        started_at = trio.current_time()
        await fleet.start_node("one")
        await store_fleet.until(lambda: fleet.nodes["one"].is_ready, 1.0)
        assert trio.current_time() - started_at < 0.2
        await trio.sleep(3.0)
        fleet.store.calls.clear()
        await trio.sleep(10.0)
        assert not fleet.store.calls["POST /sassafrasmount/kv-lease"]


async def test_a_watch_that_fails_is_begun_again():
    """Guards against a child of the supervisor that each failure restarts."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        fleet.is_away = True
        fleet.store.compact()
        await trio.sleep(1.0)
        fleet.is_away = False
        await _start(fleet, "three")
        fleet.store.compact()
        await _start(fleet, "four")
        assert len(fleet.nodes["one"].fleet) == 3


async def test_a_late_call_of_the_era_before_is_overwritten():
    """Guards against an entry that a call held up since the copy replaces.

    Its condition may hold at a revision that was given out again.
    """
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        node = fleet.nodes["one"]
        own_key = entries.key_of("one")
        before = entries.encode(fleet.stored_entry("one"))
        assert await fleet.announce("one", "target-b", _READY, 1)
        await store_fleet.until(
            lambda: node.stored_entry_number == node.entry.number
        )
        fleet.come_back(fleet.store.copy())
        await store_fleet.until(lambda: node.lease_era == 2, 3.0)
        fleet.store.put(own_key, before, node.lease)
        await trio.sleep(5.0)
        assert fleet.stored_entry("one") == node.entry


async def test_a_write_under_the_lease_of_another_node_does_not_count():
    """Guards against an entry that ends with another node."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "two")
        copy = fleet.store.copy()
        await _start(fleet, "one")
        node, lost = fleet.nodes["one"], fleet.nodes["one"].entry_revision
        number = node.lease
        fleet.come_back(copy)
        fleet.store._grant_lease(600_000)
        while fleet.store.revision < lost - 1:
            fleet.store.put("x/filler", b"")
        fleet.store.put(entries.key_of("one"), b"{}")
        assert fleet.store._items[entries.key_of("one")].revision == lost
        # The node does not know yet; its condition holds by chance.
        leaving = targets.State.LEAVING
        assert await fleet.announce("one", "target-one", leaving, 2)
        item = fleet.store._items[entries.key_of("one")]
        assert item.lease == node.lease != number
        assert fleet.stored_entry("one") == node.entry


async def test_a_stopping_node_ends_no_lease_of_an_older_era():
    """Guards against the end of another node's entry at a planned stop."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one")
        node = fleet.nodes["one"]
        node.record_era(2, None)
        fleet.store.calls.clear()
        await own_entry.withdraw(node)
        assert not [name for name in fleet.store.calls if "lease-end" in name]


async def test_a_node_without_a_configuration_answers_pings():
    """Guards against links that end until a starting node has read it."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one")
        fleet.cut.add("two")
        await fleet.start_node("two")
        await trio.sleep(0.1)
        update = link_session.node_update(fleet.nodes["two"], 0)
        assert update.configuration_version == 0


def _zones(fleet):
    return {name: n.evacuations.zones for name, n in fleet.nodes.items()}


@pytest.mark.parametrize("was_read", [True, False])
async def test_an_evacuation_that_the_store_lost_stays(was_read):
    """Guards against calls to a zone that its operator empties."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        fleet.store.put(_EVACUATION, b"{}")
        await trio.sleep(1.0 if was_read else 0.0)
        fleet.come_back(copy)
        if not was_read:
            await trio.sleep(1.0)
            fleet.store.put(_EVACUATION, b"{}")
            await trio.sleep(1.0)
        returned_at = trio.current_time()
        is_written = not was_read
        while trio.current_time() < returned_at + 6.0:
            assert all(zones == {"zone-z"} for zones in _zones(fleet).values())
            if not is_written and trio.current_time() > returned_at + 1.5:
                fleet.store.put(_EVACUATION, b"{}")
                is_written = True
            await trio.sleep(0.1)


async def test_an_evacuation_that_ended_does_not_come_back():
    """Guards against a zone that an older copy empties once more."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        fleet.store.put(_EVACUATION, b"{}")
        await trio.sleep(1.0)
        copy = fleet.store.copy()
        fleet.store.remove(_EVACUATION)
        await trio.sleep(1.0)
        assert not any(_zones(fleet).values())
        fleet.come_back(copy)
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + 6.0:
            assert not any(_zones(fleet).values())
            if 1.4 < trio.current_time() - returned_at < 1.6:
                fleet.store.remove(_EVACUATION)
            await trio.sleep(0.1)


async def test_an_evacuation_that_nobody_writes_again_ends():
    """Guards against a zone without calls that no key asks for."""
    async with store_fleet.running() as fleet:
        await _start(fleet, "one", "two")
        copy = fleet.store.copy()
        fleet.store.put(_EVACUATION, b"{}")
        await trio.sleep(1.0)
        fleet.come_back(copy)
        await trio.sleep(4.0)
        assert not any(_zones(fleet).values())
