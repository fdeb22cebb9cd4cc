"""Supervises the tasks that serve the local target.

Children: `sessions` (connections of the target), `accept` (its listener) and
`expiry` (removes a silent target). Each restarts alone.
"""

import functools

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node import runtime as runtimes
from sassafras_node.targets import expiry
from sassafras_node.targets import session


async def run(runtime: runtimes.Runtime, listener: listening.Listener) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/targets")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child("sessions", listener.run_sessions),
            supervision.Child("accept", listener.accept),
            supervision.Child("expiry", functools.partial(expiry.run, runtime)),
        ]
    )


def make_listener(runtime: runtimes.Runtime) -> listening.Listener:
    """Returns the listener for the local target."""
    return listening.Listener(
        "target",
        runtime.settings.host.target_address,
        functools.partial(session.serve, runtime),
    )
