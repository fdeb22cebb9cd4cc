"""Tries nodes that are taken for dead, so that a cut fleet joins again.

After a cut each half takes the other for dead and sends it no heartbeats. One
exchange across the healed cut is enough: both sides pass on what they learn.
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
    """Contacts one node that is missing from time to time."""
    while True:
        # Spread out, as all nodes of a half lose the other at one moment.
        await trio.sleep(_INTERVAL_S * random.uniform(0.5, 1.5))
        missing = _missing(runtime)
        if not missing:
            continue
        await _try(runtime, random.choice(missing))


def _missing(runtime: runtimes.Runtime) -> list[str]:
    """Returns dead nodes, and seeds of which nothing is known."""
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


async def _try(runtime: runtimes.Runtime, node_id: str) -> None:
    """Exchanges changes with a node once; one that is gone is no error."""
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
