"""Failure detector for the neighbours."""

import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_policy.membership import records

_CHECK_INTERVAL_S = 0.25


@events.declare(401, "WARNING")
def neighbour_suspect(node_id: str, silent_s: float) -> str:
    """A neighbour has not answered heartbeats; it may be paused or cut off."""
    return f"node {node_id} is suspect: no message for {silent_s:.1f} s"


@events.declare(402, "WARNING")
def neighbour_dead(node_id: str, silent_s: float) -> str:
    """A neighbour is considered dead and gets no calls until it is back."""
    return f"node {node_id} is dead: no message for {silent_s:.1f} s"


@events.declare(510, "WARNING")
def claim_believed(node_id: str) -> str:
    """A peer reported a node as dead and the node has not refuted it."""
    return f"node {node_id} is dead, as reported by a peer"


async def run(runtime: runtimes.Runtime) -> None:
    """Checks the neighbours until cancelled."""
    settings = runtime.settings.peers
    last_check = runtime.clock.now_with_suspend()
    # Incarnation and version of each neighbour; an increase shows that it is
    # alive, also when another node passed it on.
    versions: dict[str, tuple[int, int]] = {}
    reported_since: dict[tuple[str, int, int], float] = {}
    while True:
        await trio.sleep(_CHECK_INTERVAL_S)
        suspended_now = runtime.clock.now_with_suspend()
        paused = suspended_now - last_check > settings.suspect_after_s
        last_check = suspended_now
        now = runtime.clock.now()
        watched = runtime.neighbours.choose(now)
        runtime.last_seen.keep_only(set(watched))
        for node_id in watched:
            version = _version(runtime.table.get(node_id))
            if paused or versions.get(node_id, version) != version:
                # After a pause this process has missed messages itself, so the
                # time since the last one restarts.
                runtime.last_seen.record(node_id, now)
            versions[node_id] = version
            _check(runtime, node_id)
        versions = {node: versions[node] for node in watched}
        reported_since = _check_reported(runtime, reported_since, paused)


def _version(record: records.NodeRecord | None) -> tuple[int, int]:
    return (record.incarnation, record.version) if record else (0, 0)


def _check(runtime: runtimes.Runtime, node_id: str) -> None:
    settings = runtime.settings.peers
    silent_s = runtime.last_seen.silent_s(node_id, runtime.clock.now())
    if silent_s > settings.dead_after_s:
        if runtime.table.mark(node_id, records.Status.DEAD):
            neighbour_dead(node_id, silent_s)
    elif silent_s > settings.suspect_after_s and runtime.table.mark(
        node_id, records.Status.SUSPECT
    ):
        neighbour_suspect(node_id, silent_s)


def _check_reported(
    runtime: runtimes.Runtime,
    since: dict[tuple[str, int, int], float],
    paused: bool,
) -> dict[tuple[str, int, int], float]:
    """Marks nodes dead whose reported death was not refuted in time."""
    settings = runtime.settings.peers
    timeout_s = settings.dead_after_s - settings.suspect_after_s
    now = runtime.clock.now()
    pending = {
        (node_id, *_version(record)): now
        for node_id, record in runtime.table.disputed.items()
    }
    if not paused:
        pending = {item: since.get(item, now) for item in pending}
    for item, first in pending.items():
        if now - first > timeout_s and runtime.table.mark(
            item[0], records.Status.DEAD
        ):
            claim_believed(item[0])
    return pending
