"""Removes a local target that has stopped announcing itself."""

import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.targets import announcements
from sassafras_policy.membership import records

ANNOUNCEMENT_LIFETIME_S = 10.0
_CHECK_INTERVAL_S = 0.5


@events.declare(301, "WARNING")
def target_silent(address: str, silent_s: float) -> str:
    """The local target has not sent an announcement for too long.

    It gets no calls until the next one. Check the target's process.
    """
    return f"no announcement from target {address} for {silent_s:.1f} s"


async def run(runtime: runtimes.Runtime) -> None:
    """Checks the age of the last announcement until cancelled."""
    while True:
        revision = runtime.configuration.revision
        with trio.move_on_after(_CHECK_INTERVAL_S):
            while runtime.configuration.revision == revision:
                await runtime.changed.wait()
        target = runtime.target
        announcement = target.announcement
        if (
            announcement is not None
            and target.silent_s > ANNOUNCEMENT_LIFETIME_S
        ):
            if announcement.state is records.TargetState.SERVING:
                target_silent(announcement.address, target.silent_s)
            await target.withdraw()
        # Also publishes targets that operators stop or start.
        announcements.publish(runtime)
