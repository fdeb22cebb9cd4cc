"""Supervises the use of the platform's key-value service.

Children: `zone_lease` (election of the watcher), `watch` (configuration) and
`members` (list of the availability zone's nodes). Each restarts alone; an
outage of the store is not a failure and never propagates to the parent.
"""

import functools

from sassafras_base import supervision
from sassafras_node import runtime as runtimes
from sassafras_node.store import configuration_watch
from sassafras_node.store import members
from sassafras_node.store import zone_lease


async def run(runtime: runtimes.Runtime) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/store")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child(
                "zone_lease", functools.partial(zone_lease.run, runtime)
            ),
            supervision.Child(
                "watch", functools.partial(configuration_watch.run, runtime)
            ),
            supervision.Child(
                "members", functools.partial(members.run, runtime)
            ),
        ]
    )
