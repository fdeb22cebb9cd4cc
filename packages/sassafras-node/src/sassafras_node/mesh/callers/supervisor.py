"""Supervisor of the listeners for callers and for readiness.

Children: an accept loop and the sessions for each. One that fails is restarted
alone; running sessions continue.
"""

import functools

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node.mesh import refusals
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.callers import readiness
from sassafras_node.mesh.callers import session


async def run(
    callers: listening.Listener,
    checks: listening.Listener,
    metrics: listening.Listener,
) -> None:
    """Runs the children until cancelled."""
    await supervision.Supervisor("node/mesh/callers").run(
        [
            child
            for listener in (callers, checks, metrics)
            for child in (
                supervision.Child(
                    f"{listener.name}-sessions", listener.run_sessions
                ),
                supervision.Child(listener.name, listener.accept),
            )
        ]
    )


def make_listeners(
    runtime: runtimes.Runtime,
) -> tuple[listening.Listener, listening.Listener, listening.Listener]:
    """Returns the listeners for callers, for readiness and for metrics."""
    host = runtime.settings.host
    groups = runtime.connections
    refuse = functools.partial(refusals.of_http_connection, runtime)
    return (
        listening.Listener(
            "caller",
            host.caller_address,
            functools.partial(session.serve, runtime),
            groups.callers,
            refuse,
        ),
        listening.Listener(
            "readiness",
            host.readiness_address,
            functools.partial(readiness.serve, runtime, groups.readiness),
            groups.readiness,
            refuse,
        ),
        listening.Listener(
            "metrics",
            host.metrics_address,
            functools.partial(readiness.serve, runtime, groups.metrics),
            groups.metrics,
            refuse,
        ),
    )
