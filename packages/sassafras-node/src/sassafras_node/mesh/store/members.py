"""Follows the entries of the other nodes in the store."""

import trio

from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import outages
from sassafras_wire.store import client as store_client

# A watch waits this long; a change ends the wait at once.
_WAIT_S = 20.0
# Changes come in bursts, as when all nodes start; one call then gets several.
_BATCH_DELAY_S = 0.2
_RETRY_S = 0.5


@events.declare(846, "WARNING")
def entry_unreadable(key: str) -> str:
    """An entry in the store is not valid; its node is ignored."""
    return f"entry {key} is not valid"


@events.declare(847, "INFO")
def node_entry_lapsed(node_id: str) -> str:
    """A node's entry is no longer in the store."""
    return f"entry of {node_id} has lapsed"


async def run(runtime: runtimes.Runtime) -> None:
    """Follows the entries until cancelled."""
    outage_log = outages.OutageLog("members")
    while True:
        try:
            revision = await _read_all(runtime)
            outage_log.record_success()
            while True:
                listing = await runtime.platform.store.changes(
                    entries.PREFIX, revision, _WAIT_S
                )
                for item in listing.items:
                    _apply(runtime, item)
                revision = listing.revision
                await trio.sleep(_BATCH_DELAY_S)
        except interfaces.HistoryLostError:
            # All entries are read instead of the changes.
            continue
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)


async def _read_all(runtime: runtimes.Runtime) -> int:
    listing = await runtime.platform.store.get_prefix(entries.PREFIX)
    for item in listing.items:
        _apply(runtime, item)
    known = {entries.node_of(item.key) for item in listing.items}
    runtime.fleet.keep_only(known, runtime.clock.now_with_suspend())
    runtime.is_fleet_loaded = True
    runtime.configure_limiter()
    if runtime.settings.host.node_id not in known:
        runtime.own_entry_removed.set()
    return listing.revision


def _apply(runtime: runtimes.Runtime, item: interfaces.Item) -> None:
    if item.value is None:
        node_id = entries.node_of(item.key)
        node_entry_lapsed(node_id)
        if node_id == runtime.settings.host.node_id:
            runtime.own_entry_removed.set()
        runtime.fleet.lapse(node_id, runtime.clock.now_with_suspend())
        return
    entry = entries.decode(item.value)
    if entry is None:
        entry_unreadable(item.key)
    else:
        runtime.fleet.update(entry)
