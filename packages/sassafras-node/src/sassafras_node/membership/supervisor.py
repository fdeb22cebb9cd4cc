"""Supervises the node's part in the membership.

Children: `detector` (neighbours that fail), `own_record` (revision in force)
and `forgetting` (nodes that are gone for long). Each restarts alone.
"""

import functools

from sassafras_base import supervision

from sassafras_node import runtime as runtimes
from sassafras_node.membership import detector
from sassafras_node.membership import forgetting
from sassafras_node.membership import own_record


async def run(runtime: runtimes.Runtime) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/membership")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child(
                "detector", functools.partial(detector.run, runtime)
            ),
            supervision.Child(
                "own_record", functools.partial(own_record.run, runtime)
            ),
            supervision.Child(
                "forgetting", functools.partial(forgetting.run, runtime)
            ),
        ]
    )
