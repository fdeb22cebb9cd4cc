"""Supervises the administration API.

Children: `sessions` (one task for each connection) and `accept`. Each restarts
on its own; a restart of `accept` leaves open sessions alone.
"""

import functools

from sassafras_base import supervision
from sassafras_node import listening
from sassafras_node import runtime as runtimes
from sassafras_node.admin import peer_status
from sassafras_node.admin import session
from sassafras_node.admin.routes import audit
from sassafras_node.admin.routes import configuration
from sassafras_node.admin.routes import health
from sassafras_node.admin.routes import keys
from sassafras_node.admin.routes import nodes
from sassafras_node.admin.routes import reports
from sassafras_node.admin.routes import status
from sassafras_node.admin.routes import targets
from sassafras_wire.settings import operators

# Importing these modules registers their routes and message handlers.
ROUTE_MODULES = (
    audit,
    configuration,
    health,
    keys,
    nodes,
    peer_status,
    reports,
    status,
    targets,
)


async def run(runtime: runtimes.Runtime, listener: listening.Listener) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/admin")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child("sessions", listener.run_sessions),
            supervision.Child("accept", listener.accept),
        ]
    )


def make_listener(runtime: runtimes.Runtime) -> listening.Listener:
    """Returns the listener for operators.

    Raises:
      InvalidInputError: The operators file is invalid.
    """
    accounts = operators.load(runtime.settings.admin.operators_file)
    return listening.Listener(
        "operator",
        runtime.settings.host.admin_address,
        functools.partial(session.serve, runtime, accounts),
    )
