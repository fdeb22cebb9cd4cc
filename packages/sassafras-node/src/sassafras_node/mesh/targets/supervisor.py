"""Supervisor of the listener for the local target.

Children: `sessions` and `accept`. One that fails is restarted alone.
"""

import functools

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node.mesh import refusals
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.targets import announcements


async def run(listener: listening.Listener) -> None:
    """Runs the children until cancelled."""
    await supervision.Supervisor("node/mesh/targets").run(
        [
            supervision.Child("sessions", listener.run_sessions),
            supervision.Child("accept", listener.accept),
        ]
    )


def make_listener(runtime: runtimes.Runtime) -> listening.Listener:
    """Returns the listener for announcements."""
    return listening.Listener(
        "announcement",
        runtime.settings.host.announcement_address,
        functools.partial(announcements.serve, runtime),
        runtime.connections.announcements,
        functools.partial(refusals.of_http_connection, runtime),
    )
