"""The root of the supervisor tree.

Children: `store`, `peers`, `membership`, `limits`, `targets`, `callers` and
`admin`, each a supervisor of its own, `hangups`, which detects callers that
disconnect, and `idle-deadlines`, which closes idle connections. A child that
gives up is restarted here; when that happens too often the root gives up and
the process exits with an error.
"""

import functools

import trio

from sassafras_base import events
from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node import runtime as runtimes
from sassafras_node.admin import supervisor as admin
from sassafras_node.callers import supervisor as callers
from sassafras_node.limits import supervisor as limits
from sassafras_node.membership import supervisor as membership
from sassafras_node.peers import handovers
from sassafras_node.peers import supervisor as peers
from sassafras_node.reports import fleet_report as _report_handlers  # noqa: F401
from sassafras_node.store import supervisor as store
from sassafras_node.targets import announcements
from sassafras_node.targets import supervisor as targets
from sassafras_policy.membership import records

# New work must stop arriving before the listeners close: peers are notified of
# the planned stop with the next heartbeat.
_LEAVE_NOTICE_S = 1.0
_DRAIN_TIMEOUT_S = 60.0


@events.declare(3, "INFO")
def node_serving(node_id: str, callers_at: str) -> str:
    """The node has bound its addresses and serves."""
    return f"node {node_id} serves callers at {callers_at}"


@events.declare(4, "INFO")
def node_draining(in_flight: int) -> str:
    """A planned stop has begun; calls in flight are finished first."""
    return f"draining {in_flight} calls in flight"


@events.declare(5, "INFO")
def node_stopped(in_flight: int) -> str:
    """The node has stopped."""
    return f"stopped with {in_flight} calls in flight"


async def run(
    runtime: runtimes.Runtime,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a node until `runtime.drain.requested` is set and work is done."""
    listeners = [
        callers.make_listener(runtime),
        targets.make_listener(runtime),
        peers.make_listener(runtime),
        admin.make_listener(runtime),
    ]
    for listener in listeners:
        listener.bind()
    caller_listener, target_listener, peer_listener, admin_listener = listeners
    root = supervision.Supervisor("node")
    runtime.supervisors[root.path] = root
    children: list[tuple[str, supervision.ChildFunction]] = [
        ("store", functools.partial(store.run, runtime)),
        ("peers", functools.partial(peers.run, runtime, peer_listener)),
        ("membership", functools.partial(membership.run, runtime)),
        ("limits", functools.partial(limits.run, runtime)),
        ("targets", functools.partial(targets.run, runtime, target_listener)),
        ("callers", functools.partial(callers.run, runtime, caller_listener)),
        ("admin", functools.partial(admin.run, runtime, admin_listener)),
        ("hangups", runtime.disconnects.run),
        ("idle-deadlines", runtime.idle_deadlines.run),
    ]
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(
                root.run,
                [supervision.Child(name, child) for name, child in children],
            )
            node_serving(
                runtime.table.own_id, runtime.settings.host.caller_address
            )
            task_status.started()
            await runtime.drain.requested.wait()
            await _drain(runtime, caller_listener)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            for listener in listeners:
                listener.close()


async def _drain(
    runtime: runtimes.Runtime, caller_listener: listening.Listener
) -> None:
    node_draining(runtime.drain.in_flight)
    announcements.publish(runtime)
    # Meanwhile callers on open connections are told to use another node.
    await trio.sleep(_LEAVE_NOTICE_S)
    # New connections are refused, so callers know that nothing was sent.
    caller_listener.close()
    with trio.move_on_after(_DRAIN_TIMEOUT_S):
        await runtime.drain.idle.wait()
    await handovers.deposit(runtime)
    runtime.table.update_own(status=records.Status.LEFT)
    await trio.sleep(_LEAVE_NOTICE_S / 2)
    with trio.move_on_after(_DRAIN_TIMEOUT_S):
        await runtime.drain.idle.wait()
    node_stopped(runtime.drain.in_flight)
