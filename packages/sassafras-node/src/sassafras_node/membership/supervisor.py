"""Supervises the membership tasks.

Children: `detector` (detects failed neighbours), `own_record` (publishes the
active revision), `forgetting` (expires nodes that are gone), `roster_watch`,
`roster_extend` and `roster_report`. Each restarts alone; an outage of the store
is not a failure.
"""

import functools

from sassafras_base import supervision
from sassafras_node import runtime as runtimes
from sassafras_node.membership import detector
from sassafras_node.membership import own_record
from sassafras_node.membership import record_expiry
from sassafras_node.membership import roster


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
                "roster_watch", functools.partial(roster.watch, runtime)
            ),
            supervision.Child(
                "roster_extend", functools.partial(roster.extend, runtime)
            ),
            supervision.Child(
                "roster_report", functools.partial(roster.report, runtime)
            ),
            supervision.Child(
                "own_record", functools.partial(own_record.run, runtime)
            ),
            supervision.Child(
                "forgetting", functools.partial(record_expiry.run, runtime)
            ),
        ]
    )
