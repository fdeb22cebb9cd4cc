"""Supervises the links to other nodes.

Children: `sessions` and `accept` (connections from peers), `readers` (call
connections to peers), `rejoin` (contacts nodes considered dead), `traffic`
(logs the bytes of control messages), `recover` (recovers idempotency records
after a planned restart), `ring` (chooses the neighbours) and one `link:<node>`
for each neighbour. A link that fails restarts alone with a back-off and never
gives up: an unreachable neighbour is not a fault of this node.
"""

import functools

import trio

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handovers
from sassafras_node.peers import link
from sassafras_node.peers import rejoin
from sassafras_node.peers import session
from sassafras_node.peers import traffic

_LINK_POLICY = supervision.RestartPolicy(
    initial_backoff_s=0.2, max_backoff_s=2.0, max_failures=2**31
)
_LINK_PREFIX = "link:"
_RING_INTERVAL_S = 0.5
# Collects the ring changes of many nodes that start at once.
_RING_BATCH_S = 0.02


async def run(runtime: runtimes.Runtime, listener: listening.Listener) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/peers")
    neighbour_links = supervision.Supervisor("node/peers/links", _LINK_POLICY)
    runtime.supervisors[supervisor.path] = supervisor
    runtime.supervisors[neighbour_links.path] = neighbour_links
    await supervisor.run(
        [
            supervision.Child("sessions", listener.run_sessions),
            supervision.Child("accept", listener.accept),
            supervision.Child("readers", runtime.peer_pools.run_readers),
            supervision.Child("rejoin", functools.partial(rejoin.run, runtime)),
            supervision.Child(
                "traffic", functools.partial(traffic.run, runtime)
            ),
            supervision.Child(
                "recover",
                functools.partial(handovers.recover, runtime),
                permanent=False,
            ),
            supervision.Child(
                "links",
                functools.partial(_run_links, runtime, neighbour_links),
            ),
        ]
    )


def make_listener(runtime: runtimes.Runtime) -> listening.Listener:
    """Returns the listener for peers."""
    return listening.Listener(
        "peer",
        runtime.settings.host.peer_address,
        functools.partial(session.serve, runtime),
    )


async def _run_links(
    runtime: runtimes.Runtime, links: supervision.Supervisor
) -> None:
    ring = supervision.Child(
        "ring", functools.partial(_follow_ring, runtime, links)
    )
    await links.run([ring])


async def _follow_ring(
    runtime: runtimes.Runtime, links: supervision.Supervisor
) -> None:
    """Runs one link for each neighbour on the ring."""
    while True:
        changed = runtime.changed
        links.reconcile(
            _LINK_PREFIX,
            {
                node_id: functools.partial(link.run, runtime, node_id)
                for node_id in runtime.neighbours.choose(runtime.clock.now())
            },
        )
        with trio.move_on_after(_RING_INTERVAL_S):
            await changed.wait()
        await trio.sleep(_RING_BATCH_S)
