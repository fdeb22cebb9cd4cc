"""Supervisor of the tasks that use the store.

Children: `configuration`, `entry`, `members` and `records`. One that fails is
restarted alone.
"""

import functools

from sassafras_base import supervision
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import configuration
from sassafras_node.mesh.store import members
from sassafras_node.mesh.store import own_entry
from sassafras_node.mesh.store import records


async def run(runtime: runtimes.Runtime) -> None:
    """Runs the children until cancelled."""
    await supervision.Supervisor("node/mesh/store").run(
        [
            supervision.Child(
                "configuration", functools.partial(configuration.run, runtime)
            ),
            supervision.Child(
                "entry", functools.partial(own_entry.run, runtime)
            ),
            supervision.Child(
                "members", functools.partial(members.run, runtime)
            ),
            supervision.Child(
                "records", functools.partial(records.run, runtime)
            ),
        ]
    )
