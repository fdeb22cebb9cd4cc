"""Supervisor of the control links and of the listeners for other nodes.

Children: `calls` and `links` accept connections, `call-sessions` and
`link-sessions` serve them, and `joining` introduces the node to the others.
`outgoing` is a supervisor of its own: `roster` follows the fleet, and there is
one `link:NODE` for each node that `policy/mesh/linking.py` chooses and one
`limits:NODE` for each owner of a token pool; it never gives up, as an
unreachable node is no fault of this one. A child that fails is restarted alone;
the calls of running sessions continue.
"""

import functools

import trio

from sassafras_base import events
from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node.limits import exchange
from sassafras_node.mesh import refusals
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.peers import call_session
from sassafras_node.mesh.peers import joining
from sassafras_node.mesh.peers import link
from sassafras_node.mesh.peers import link_session
from sassafras_policy.mesh import linking

# Delay until a new node gets a link, and until a node that is gone loses it.
_ROSTER_INTERVAL_S = 0.25

_OUTGOING_POLICY = supervision.RestartPolicy(
    initial_backoff_s=0.1, max_backoff_s=1.0, max_failures=2**31
)


@events.declare(849, "INFO")
def zone_reader_changed(reader: str, candidates: str) -> str:
    """Another node of the zone reads the store for this node.

    `candidates` are the nodes that this node asks, in order; it is the reader
    itself if it is the first.
    """
    return f"{reader} reads the store for the zone"


async def run(
    runtime: runtimes.Runtime,
    calls: listening.Listener,
    links: listening.Listener,
) -> None:
    """Runs the children until cancelled."""
    outgoing = supervision.Supervisor(
        "node/mesh/peers/outgoing", _OUTGOING_POLICY
    )
    await supervision.Supervisor("node/mesh/peers").run(
        [
            supervision.Child("call-sessions", calls.run_sessions),
            supervision.Child("calls", calls.accept),
            supervision.Child("link-sessions", links.run_sessions),
            supervision.Child("links", links.accept),
            supervision.Child(
                "joining", functools.partial(joining.run, runtime)
            ),
            supervision.Child(
                "outgoing",
                functools.partial(
                    outgoing.run,
                    [
                        supervision.Child(
                            "roster",
                            functools.partial(_follow_fleet, runtime, outgoing),
                        )
                    ],
                ),
            ),
        ]
    )


def make_listeners(
    runtime: runtimes.Runtime,
) -> tuple[listening.Listener, listening.Listener]:
    """Returns the listeners for calls and for control links."""
    host = runtime.settings.host
    return (
        listening.Listener(
            "call",
            host.call_address,
            functools.partial(call_session.serve, runtime),
            runtime.connections.calls,
            functools.partial(refusals.of_call_connection, runtime),
        ),
        listening.Listener(
            "link",
            host.link_address,
            functools.partial(link_session.serve, runtime),
            runtime.connections.links,
        ),
    )


async def _follow_fleet(
    runtime: runtimes.Runtime, supervisor: supervision.Supervisor
) -> None:
    """Keeps the links to chosen nodes, and forgets nodes that are gone."""
    applied: object = None
    while True:
        division_changed = runtime.rates.changed
        now = runtime.clock.now_with_suspend()
        runtime.fleet.lapse_departed(now)
        for node_id in runtime.fleet.expire(now):
            runtime.forget_node(node_id)
        state = (
            runtime.fleet.changes,
            frozenset(runtime.unusable_readers),
            runtime.entry.number,
            runtime.reaches_store,
            runtime.version,
            runtime.limiter.holders,
        )
        # Each choice hashes the names of all nodes.
        if state != applied:
            applied = state
            _apply_fleet(runtime, supervisor)
        # Requests wait for tokens of a new owner until it has its task.
        with trio.move_on_after(_ROSTER_INTERVAL_S):
            await division_changed.wait()


def _apply_fleet(
    runtime: runtimes.Runtime, supervisor: supervision.Supervisor
) -> None:
    """Chooses readers, links and owners of token pools for the known nodes."""
    _update_readers(runtime)
    runtime.configure_limiter()
    runtime.linked = linking.choose(
        runtime.entry,
        runtime.fleet.entries,
        runtime.unusable_readers,
        needs_all=runtime.rates.divides_by_demand,
    )
    supervisor.reconcile(
        "link:",
        {
            f"{entry.node_id}/{entry.incarnation}": functools.partial(
                link.run, runtime, entry
            )
            for entry in map(runtime.fleet.get, sorted(runtime.linked))
            if entry is not None
        },
    )
    supervisor.reconcile(
        "limits:",
        {
            holder: functools.partial(exchange.run, runtime, holder)
            for holder in runtime.limiter.holders
        },
    )


def _update_readers(runtime: runtimes.Runtime) -> None:
    previous = runtime.readers.candidates[0]
    runtime.update_readers()
    candidates = runtime.readers.candidates
    if candidates[0] != previous:
        zone_reader_changed(candidates[0], ",".join(candidates))
