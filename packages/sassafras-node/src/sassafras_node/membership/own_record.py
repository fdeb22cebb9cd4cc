"""Publishes in the node's own record which revision it has in force."""

import math

import trio

from sassafras_node import runtime as runtimes

# Each publication travels to every node. With one a node in this time for
# each node of the fleet, all of them together make at most 4 records/s, which
# 2,800 nodes can afford; the newest revision is published in the end.
_INTERVAL_PER_NODE_S = 0.25


async def run(runtime: runtimes.Runtime) -> None:
    """Publishes the revision in force whenever it has changed."""
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
