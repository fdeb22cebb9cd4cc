"""Publishes the active configuration revision in the node's own record."""

import math

import trio

from sassafras_node import runtime as runtimes

# Each publication is sent to every node. A node waits this time for each node
# of the fleet between two publications, so the fleet makes at most 4 records/s,
# which 2,800 nodes can handle. The newest revision is always published in the
# end.
_INTERVAL_PER_NODE_S = 0.25


async def run(runtime: runtimes.Runtime) -> None:
    """Publishes the active revision whenever it has changed."""
    published_at = -math.inf
    while True:
        changed = runtime.changed
        if runtime.table.own.config_revision == runtime.configuration.revision:
            await changed.wait()
            continue
        interval_s = len(runtime.table.peers) * _INTERVAL_PER_NODE_S
        await trio.sleep_until(published_at + interval_s)
        runtime.table.update_own(config_revision=runtime.configuration.revision)
        published_at = trio.current_time()
