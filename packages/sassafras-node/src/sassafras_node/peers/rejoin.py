"""Contacts nodes that are considered dead, to heal network partitions.

In a partition each side considers the other dead and sends it no heartbeats.
One exchange afterwards is enough: both sides propagate what they receive.
"""

import random

import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.peers import link as link_tasks
from sassafras_policy.membership import records
from sassafras_wire.peer import link as links

_INTERVAL_S = 5.0


async def run(runtime: runtimes.Runtime) -> None:
    """Contacts a random missing node at intervals."""
    while True:
        # Jitter, as all nodes of one side lose the other at the same time.
        await trio.sleep(_INTERVAL_S * random.uniform(0.5, 1.5))
        missing = _missing_nodes(runtime)
        if not missing:
            continue
        await _contact(runtime, random.choice(missing))


def _missing_nodes(runtime: runtimes.Runtime) -> list[str]:
    """Returns dead nodes, and seeds without a record."""
    dead = [
        record.node_id
        for record in runtime.table.all
        if record.status is records.Status.DEAD
    ]
    unknown = [
        seed
        for seed in runtime.neighbours.seeds
        if runtime.table.get(seed) is None
    ]
    return dead + unknown


async def _contact(runtime: runtimes.Runtime, node_id: str) -> None:
    """Exchanges changes with a node once; an unreachable one is ignored."""
    async with trio.open_nursery() as nursery:
        try:
            link = await links.open_link(nursery, node_id, runtime.credentials)
        except errors.SassafrasError:
            return
        try:
            with trio.move_on_after(runtime.settings.peers.dead_after_s):
                await link_tasks.exchange(runtime, link)
        except errors.SassafrasError:
            pass
        finally:
            with trio.CancelScope(shield=True):
                await link.abort()
            nursery.cancel_scope.cancel()
