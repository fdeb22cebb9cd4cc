"""The root of the supervisor tree of a mesh node.

Children: `store`, `peers`, `targets` and `callers`, each a supervisor of its
own, `hangups`, which detects client disconnects, `call-deadlines` and
`idle-deadlines`, which close connections that wait for too long,
`processor-lag`, which measures how full the node is, and `processor-use`, which
reports what its processor time was used for. One that gives up is restarted
here; when that happens too often the root gives up and the process
exits with an error.
"""

import functools

import trio

from sassafras_base import events
from sassafras_base import supervision
from sassafras_node.mesh import processor_lag
from sassafras_node.mesh import processor_use
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.callers import supervisor as callers
from sassafras_node.mesh.peers import supervisor as peers
from sassafras_node.mesh.store import own_entry
from sassafras_node.mesh.store import supervisor as store
from sassafras_node.mesh.targets import supervisor as targets

# Callers of this host are redirected after two failed readiness checks, at one
# check a second; until then their requests are still served.
_READINESS_NOTICE_S = 2.4
# Time for the update that this node is leaving to arrive at other nodes.
_UPDATE_DELAY_S = 0.1
# Calls that are accepted during a planned stop have their deadline this long
# before the end, so that the target's own response to it still arrives.
_LAST_DEADLINE_MARGIN_S = 0.1
# Reserved before the kill for the last responses, removing the entry, the last
# log lines and the exit of the interpreter.
_EXIT_MARGIN_S = 1.0
# Parts of that margin for the responses to requests that are ended, and for the
# call that removes the entry.
_LAST_RESPONSES_TIMEOUT_S = 0.2
_WITHDRAW_TIMEOUT_S = 0.3


@events.declare(801, "INFO")
def mesh_node_serving(node_id: str, callers_at: str, service: str) -> str:
    """The node has bound its addresses and serves."""
    return f"node {node_id} serves callers at {callers_at}"


@events.declare(802, "INFO")
def mesh_node_leaving(in_flight: int) -> str:
    """A planned stop has begun; requests in flight are finished first."""
    return f"leaving with {in_flight} requests in flight"


@events.declare(806, "INFO")
def mesh_node_refusing(in_flight: int) -> str:
    """A stopping node refuses requests from now on, except sub-calls.

    Each refusal has the reason `leaving` in event 820.
    """
    return f"refusing new requests with {in_flight} in flight"


@events.declare(807, "WARNING")
def mesh_requests_ended(in_flight: int) -> str:
    """The grace time is over; the requests left get their last response.

    A request that was sent to a target gets a 502, any other a 503.
    """
    return f"ending {in_flight} requests at the end of the grace time"


@events.declare(803, "INFO")
def mesh_node_stopped(in_flight: int) -> str:
    """The node has stopped."""
    return f"stopped with {in_flight} requests in flight"


async def run(
    runtime: runtimes.Runtime,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a node until `runtime.drain.requested` is set and work is done."""
    caller_listeners = callers.make_listeners(runtime)
    target_listener = targets.make_listener(runtime)
    call_listener, link_listener = peers.make_listeners(runtime)
    listeners = [
        *caller_listeners,
        target_listener,
        call_listener,
        link_listener,
    ]
    for listener in listeners:
        listener.bind()
    root = supervision.Supervisor("node/mesh")
    children: dict[str, supervision.ChildFunction] = {
        "store": functools.partial(store.run, runtime),
        "peers": functools.partial(
            peers.run, runtime, call_listener, link_listener
        ),
        "targets": functools.partial(targets.run, target_listener),
        "callers": functools.partial(callers.run, *caller_listeners),
        "hangups": runtime.disconnects.run,
        "call-deadlines": runtime.call_deadlines.run,
        "idle-deadlines": runtime.idle_deadlines.run,
        "processor-lag": functools.partial(processor_lag.run, runtime),
        "processor-use": functools.partial(processor_use.run, runtime),
    }
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(
                root.run,
                [
                    supervision.Child(name, run)
                    for name, run in children.items()
                ],
            )
            host = runtime.settings.host
            mesh_node_serving(
                host.node_id, host.caller_address, host.target_service
            )
            task_status.started()
            await runtime.drain.requested.wait()
            await _leave(runtime)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            for listener in listeners:
                listener.close()


async def _leave(runtime: runtimes.Runtime) -> None:
    """Finishes the requests in flight before the process is killed.

    The local target often keeps running, and is unreachable until the next
    process has started, so other nodes are redirected as late as possible.
    Until its last request has ended the target makes sub-calls, which arrive
    at the same listener as new requests. The listeners stay open, as a refusal
    tells a caller when to come back and a closed port does not.
    """
    drain = runtime.drain
    mesh_node_leaving(drain.in_flight)
    left_s = runtime.settings.bounds.grace_s - _EXIT_MARGIN_S
    drain.ends_at = runtime.clock.now() + left_s - _LAST_DEADLINE_MARGIN_S
    with trio.move_on_after(left_s):
        await trio.sleep(_READINESS_NOTICE_S)
        runtime.is_leaving = True
        runtime.publish_entry()
        await trio.sleep(_UPDATE_DELAY_S)
        drain.refuses_new = True
        mesh_node_refusing(drain.in_flight)
        await _wait_until_idle(runtime)
    if drain.in_flight:
        await _end_requests(runtime)
    with trio.move_on_after(_WITHDRAW_TIMEOUT_S):
        await own_entry.withdraw(runtime)
    mesh_node_stopped(drain.in_flight)


async def _wait_until_idle(runtime: runtimes.Runtime) -> None:
    # A request that arrives as the last one ends is in flight again.
    while runtime.drain.in_flight:
        await runtime.drain.idle.wait()


async def _end_requests(runtime: runtimes.Runtime) -> None:
    """Gives each request that is left its last response.

    Without it their connections would end without an answer, and callers could
    not tell the requests that wait for a slot from those that run.
    """
    mesh_requests_ended(runtime.drain.in_flight)
    runtime.target.gate.close()
    runtime.call_deadlines.end_all()
    with trio.move_on_after(_LAST_RESPONSES_TIMEOUT_S):
        await _wait_until_idle(runtime)
