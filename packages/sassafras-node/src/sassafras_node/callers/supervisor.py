"""Supervises the connections of callers.

Children: `sessions` (one task for each connection) and `accept`. Each restarts
alone; a restart of `accept` does not end sessions.
"""

import functools

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node import runtime as runtimes
from sassafras_node.callers import session


async def run(runtime: runtimes.Runtime, listener: listening.Listener) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/callers")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child("sessions", listener.run_sessions),
            supervision.Child("accept", listener.accept),
        ]
    )


def make_listener(runtime: runtimes.Runtime) -> listening.Listener:
    """Returns the listener for callers."""
    return listening.Listener(
        "caller",
        runtime.settings.host.caller_address,
        functools.partial(session.serve, runtime),
    )
