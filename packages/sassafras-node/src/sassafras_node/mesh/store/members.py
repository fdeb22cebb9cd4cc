"""Follows the entries of the other nodes in the store."""

import trio

from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import eras as store_eras
from sassafras_node.mesh.store import outages
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages
from sassafras_wire.store import client as store_client

# Delay until a node notices that it has become the reader of its zone.
_ROLE_CHECK_S = 0.25
# A watch waits this long; a change ends the wait at once.
_WAIT_S = 20.0
# Changes come in bursts, as when all nodes start; one call then gets several.
_BATCH_DELAY_S = 0.2
_RETRY_S = 0.5
# At the start of a fleet, most nodes write their entries after this one has
# read them. After this delay, one call returns all of them.
_SETTLE_S = 1.5


@events.declare(846, "WARNING")
def entry_unreadable(key: str) -> str:
    """An entry in the store is not that of its node; it is ignored.

    It cannot be read, has numbers or addresses out of range, names another
    node or an incarnation in the future.
    """
    return f"entry {key} is not valid"


@events.declare(848, "WARNING")
def members_unreadable(source: str) -> str:
    """The reader of the zone sent invalid entries; they are ignored."""
    return f"entries of all nodes from {source} are not valid"


@events.declare(847, "INFO")
def node_entry_lapsed(node_id: str) -> str:
    """A node's entry is no longer in the store."""
    return f"entry of {node_id} has lapsed"


async def run(runtime: runtimes.Runtime) -> None:
    """Follows the entries until cancelled.

    Each node reads them all once, after it has written its own. After that only
    the reader of the zone watches them, and the others get them from it when
    they change.
    """
    outage_log = outages.OutageLog("members")
    if not runtime.members_read.is_set():
        while not runtime.stored_entry_number:
            await runtime.entry_stored.wait()
    while True:
        try:
            position = await read_all(runtime)
            outage_log.record_success()
            await trio.sleep(_SETTLE_S)
            while True:
                if runtime.readers.is_reader:
                    position = await _await_changes(runtime, position)
                else:
                    await trio.sleep(_ROLE_CHECK_S)
                    position = max(position, runtime.members.position)
        except interfaces.HistoryLostError:
            # All entries are read instead of the changes.
            continue
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)


async def _await_changes(
    runtime: runtimes.Runtime, position: eras.Position
) -> eras.Position:
    """Applies the changes since a position; returns the next one."""
    listing = await store_eras.changes(
        runtime, entries.PREFIX, position, _WAIT_S
    )
    store_eras.note_position(runtime, listing.position, "members")
    for item in listing.items:
        _apply(runtime, item, listing.position_of(item))
    if listing.items:
        # Other keys of the store change its revision as well.
        runtime.members.position = listing.position
        runtime.publish_relay()
    await trio.sleep(_BATCH_DELAY_S)
    return listing.position


def apply_relayed(
    runtime: runtimes.Runtime,
    update: link_messages.MembersUpdate,
    source: str,
) -> None:
    """Applies the entries, or their changes, that the reader of the zone has.

    Args:
      runtime: The node.
      update: The entries.
      source: The reader.
    """
    position = update.position
    if position <= runtime.members.position:
        return
    if (
        update.since is not None
        and eras.Position(update.era, update.since) > runtime.members.position
    ):
        # Changes in between are missing; the next ping asks for them.
        return
    relayed = link_messages.decode_members(update.members)
    if relayed is None:
        members_unreadable(source)
        return
    for entry in relayed:
        _restore_own_entry(runtime, entry, position)
        runtime.fleet.update(entry, is_copy=runtime.may_read_removed)
    runtime.members.position = position
    known = {entry.node_id for entry in relayed}
    if update.since is None:
        _keep_only(runtime, known, position)
        runtime.members.changes.restart(position)
        return
    for node_id in known.union(update.removed):
        runtime.members.changes.record(node_id, position)
    for node_id in update.removed:
        _lapse(runtime, node_id, position)


def _lapse(
    runtime: runtimes.Runtime, node_id: str, position: eras.Position
) -> None:
    """Records that a node has no entry at a position of the store."""
    node_entry_lapsed(node_id)
    if (
        node_id == runtime.settings.host.node_id
        and not runtime.is_leaving
        and position >= runtime.entry_position
    ):
        runtime.own_entry_removed.set()
    # A copy may have shortened the lease, unknown to a node that is cut off.
    runtime.fleet.lapse(
        node_id,
        runtime.clock.now_with_suspend(),
        is_copy=runtime.may_read_removed,
    )


def _keep_only(
    runtime: runtimes.Runtime, known: set[str], position: eras.Position
) -> None:
    """Lapses the nodes without an entry at a position of the store."""
    runtime.fleet.keep_only(
        known,
        runtime.clock.now_with_suspend(),
        is_copy=runtime.may_read_removed,
    )
    if (
        runtime.settings.host.node_id not in known
        and position >= runtime.entry_position
    ):
        runtime.own_entry_removed.set()


async def read_all(runtime: runtimes.Runtime) -> eras.Position:
    """Reads the entries of all nodes; returns the position of the store.

    Raises:
      StoreUnavailableError: The store does not answer.
    """
    listing = await runtime.platform.store.get_prefix(entries.PREFIX)
    store_eras.note_position(runtime, listing.position, "members")
    for item in listing.items:
        _apply(runtime, item, listing.position_of(item))
    runtime.members.position = listing.position
    _keep_only(
        runtime,
        {entries.node_of(item.key) for item in listing.items},
        listing.position,
    )
    runtime.members.changes.restart(listing.position)
    if not runtime.members_read.is_set():
        await _read_records(runtime)
        runtime.members_read.set()
    return listing.position


async def _read_records(runtime: runtimes.Runtime) -> None:
    """Adds nodes that may be alive although the store has no entry of them."""
    listing = await runtime.platform.store.get_prefix(entries.RECORD_PREFIX)
    store_eras.note_position(runtime, listing.position, "members")
    now = runtime.clock.now_with_suspend()
    for item in listing.items:
        record = entries.decode(item.value) if item.value else None
        if record is None or entries.record_key_of(record.node_id) != item.key:
            entry_unreadable(item.key)
            continue
        runtime.fleet.remember(record, now)


def _apply(
    runtime: runtimes.Runtime, item: interfaces.Item, position: eras.Position
) -> None:
    node_id = entries.node_of(item.key)
    runtime.members.changes.record(node_id, position)
    if item.value is None:
        _lapse(runtime, node_id, position)
        return
    entry = entries.decode(item.value)
    if entry is None or not _is_plausible(runtime, entry, node_id):
        entry_unreadable(item.key)
        return
    _restore_own_entry(runtime, entry, position)
    runtime.fleet.update(entry, is_copy=runtime.may_read_removed)


def _is_plausible(
    runtime: runtimes.Runtime, entry: targets.NodeEntry, node_id: str
) -> bool:
    """Returns whether an entry may be the one that its node has written.

    One of a later incarnation displaces the node's own entry.
    """
    now_ms = runtime.clock.wall() * 1000
    return (
        entry.node_id == node_id
        and entry.incarnation <= now_ms + targets.MAX_CLOCK_SKEW_MS
    )


def _restore_own_entry(
    runtime: runtimes.Runtime, entry: targets.NodeEntry, position: eras.Position
) -> None:
    """Has this node's entry written again if another writer replaced it."""
    own = runtime.entry
    if (
        entry.node_id == own.node_id
        and entry.incarnation != own.incarnation
        and eras.Position() < runtime.entry_position < position
    ):
        runtime.own_entry_removed.set()
