"""Supervises failure detection. Child: `detector`."""

import functools

from sassafras_base import supervision

from sassafras_node import runtime as runtimes
from sassafras_node.membership import detector


async def run(runtime: runtimes.Runtime) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/membership")
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child(
                "detector", functools.partial(detector.run, runtime)
            )
        ]
    )
