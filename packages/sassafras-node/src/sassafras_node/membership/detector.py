"""Detects neighbours that have failed."""

from sassafras_base import events
from sassafras_policy.membership import records
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.membership import neighbours

_CHECK_INTERVAL_S = 0.25


@events.declare(401, "WARNING")
def neighbour_suspect(node_id: str, silent_s: float) -> str:
    """A neighbour has not answered heartbeats; it may be paused or cut off."""
    return f"node {node_id} is suspect after {silent_s:.1f} s of silence"


@events.declare(402, "WARNING")
def neighbour_dead(node_id: str, silent_s: float) -> str:
    """A neighbour is taken for dead and gets no calls until it is back."""
    return f"node {node_id} is dead after {silent_s:.1f} s of silence"


async def run(runtime: runtimes.Runtime) -> None:
    """Checks the neighbours until cancelled."""
    settings = runtime.settings.peers
    last_check = runtime.clock.now_with_suspend()
    while True:
        await trio.sleep(_CHECK_INTERVAL_S)
        now = runtime.clock.now_with_suspend()
        paused = now - last_check > settings.suspect_after_s
        last_check = now
        watched = neighbours.choose(runtime)
        runtime.silence.keep_only(set(watched))
        for node_id in watched:
            if paused:
                # This process was paused; the silence is its own.
                runtime.silence.heard(node_id, runtime.clock.now())
                continue
            _check(runtime, node_id)


def _check(runtime: runtimes.Runtime, node_id: str) -> None:
    settings = runtime.settings.peers
    silent_s = runtime.silence.silent_s(node_id, runtime.clock.now())
    if silent_s > settings.dead_after_s:
        if runtime.table.mark(node_id, records.Status.DEAD):
            neighbour_dead(node_id, silent_s)
    elif silent_s > settings.suspect_after_s and runtime.table.mark(
        node_id, records.Status.SUSPECT
    ):
        neighbour_suspect(node_id, silent_s)
