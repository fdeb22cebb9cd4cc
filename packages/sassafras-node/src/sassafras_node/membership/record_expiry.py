"""Expires the records of nodes that have been gone for a long time."""

import trio

from sassafras_node import runtime as runtimes
from sassafras_policy.membership import records

_CHECKS_PER_LIFETIME = 20
_MAX_CHECK_INTERVAL_S = 30.0


async def run(runtime: runtimes.Runtime) -> None:
    """Forgets dead and departed nodes, and later purges their tombstones."""
    lifetime_s = runtime.settings.peers.forget_after_s
    interval_s = min(_MAX_CHECK_INTERVAL_S, lifetime_s / _CHECKS_PER_LIFETIME)
    gone_since: dict[tuple[str, int, int], float] = {}
    forgotten_since: dict[str, float] = {}
    while True:
        await trio.sleep(interval_s)
        now = runtime.clock.now()
        gone = {
            (record.node_id, record.incarnation, record.version)
            for record in runtime.table.all
            if record.status >= records.Status.DEAD
        }
        gone_since = {item: gone_since.get(item, now) for item in gone}
        for item, since in gone_since.items():
            if now - since >= lifetime_s:
                runtime.table.forget(item[0])
                await runtime.peer_pools.drop(item[0])
                runtime.target_tracker.drop(item[0])
        forgotten_since = {
            node_id: forgotten_since.get(node_id, now)
            for node_id in runtime.table.forgotten
        }
        for node_id, since in forgotten_since.items():
            if now - since >= lifetime_s:
                runtime.table.purge(node_id)
