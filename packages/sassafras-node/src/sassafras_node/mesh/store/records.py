"""Removes the records of nodes that are gone for good."""

import trio

from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import outages
from sassafras_wire.store import client as store_client

# A record of a node that is gone costs a node that starts an attempt to reach
# it, so there is no hurry.
_INTERVAL_S = 5.0


@events.declare(851, "INFO")
def record_removed(node_id: str) -> str:
    """The record of a node that is gone was removed from the store."""
    return f"removed the record of {node_id}"


async def run(runtime: runtimes.Runtime) -> None:
    """Removes records until cancelled, while this node is a reader."""
    outage_log = outages.OutageLog("records")
    while True:
        await trio.sleep(_INTERVAL_S)
        try:
            await _remove_ended(runtime)
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
        else:
            outage_log.record_success()


async def _remove_ended(runtime: runtimes.Runtime) -> None:
    now = runtime.clock.now_with_suspend()
    for node_id, ended_at in list(runtime.ended_nodes.items()):
        if now < ended_at:
            continue
        is_gone = runtime.fleet.get(node_id) is None
        if (
            is_gone
            and runtime.readers.is_reader
            and await runtime.platform.store.remove_without(
                entries.record_key_of(node_id), entries.key_of(node_id)
            )
        ):
            record_removed(node_id)
        runtime.ended_nodes.pop(node_id, None)
