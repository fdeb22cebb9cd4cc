"""Maintains the roster in the store and reports the applied epoch.

The watcher of an availability zone adds nodes that are alive and have a target.
It waits until the epoch in the store is settled, so that any two nodes differ
by at most one settled epoch. Only operators remove nodes, through `forget`.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum

import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_node.store import keys
from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters
from sassafras_wire.membership import rosters as roster_models
from sassafras_wire.peer import models
from sassafras_wire.store import client as store_client

# Batches the nodes that start together into one epoch.
_BATCH_S = 0.2
_CHECK_INTERVAL_S = 2.0
_RETRY_INTERVAL_S = 1.0
# Must be longer than the maximum lifetime of transferred tokens: tokens granted
# from a larger share under the old epoch have then expired, so that a peer
# whose share grows after the report cannot exceed the burst.
_REPORT_DELAY_S = 0.3
_FORGET_ATTEMPTS = 5

Step = Callable[[runtimes.Runtime], Awaitable[None]]


class ForgetResult(enum.Enum):
    """Result of an attempt to forget a node."""

    DONE = "done"
    NOT_A_MEMBER = "not a member"
    IS_ALIVE = "is alive"
    CONFLICT = "conflict"


@events.declare(411, "INFO")
def roster_written(epoch: int, joined: int, forgotten: int) -> str:
    """This node wrote a new epoch of the roster to the store."""
    return f"wrote roster epoch {epoch}: {joined} joined, {forgotten} forgotten"


@events.declare(412, "WARNING")
def roster_store_failed(error: str) -> str:
    """The roster in the store could not be read or written.

    The operation is retried. Nodes that are not members yet get tokens from
    members until then.
    """
    return f"roster could not be read or written: {error}"


async def watch(runtime: runtimes.Runtime) -> None:
    """Reads the roster once, then watches it while this node is the watcher."""
    # A restarted node must not apply an epoch from a peer that is older than
    # the one that the node reported before.
    await _log_store_errors(runtime, _read)
    while True:
        await runtime.watcher_active.wait()
        await _log_store_errors(runtime, _watch)
        await trio.sleep(_RETRY_INTERVAL_S)


async def extend(runtime: runtimes.Runtime) -> None:
    """Adds members while this node is the watcher and the epoch is settled."""
    while True:
        await runtime.watcher_active.wait()
        changed = runtime.changed
        if _additions(runtime, runtime.roster.current):
            await trio.sleep(_BATCH_S)
            await _log_store_errors(runtime, _extend)
        with trio.move_on_after(_CHECK_INTERVAL_S):
            await changed.wait()


async def report(runtime: runtimes.Runtime) -> None:
    """Publishes the applied epoch in the own record after a safe delay."""
    while True:
        changed = runtime.changed
        epoch = runtime.roster.current.epoch
        if epoch > runtime.table.own.roster_epoch:
            await trio.sleep(_REPORT_DELAY_S)
            runtime.table.update_own(roster_epoch=epoch)
            continue
        await changed.wait()


async def forget(runtime: runtimes.Runtime, node_id: str) -> ForgetResult:
    """Removes a lost node from the roster, at an operator's request.

    The operator thereby asserts that the host is gone: a node that is running
    but unreachable would continue to use its old share.

    Raises:
      StoreUnavailableError: No response; the write may have happened, and
        repeating the request is harmless.
      StoreRefusedError: The store responded with an error.
    """
    known = runtime.table.get(node_id)
    if known is not None and known.status is records.Status.ALIVE:
        return ForgetResult.IS_ALIVE
    for _ in range(_FORGET_ATTEMPTS):
        stored, mod_revision = await _read_stored(runtime)
        if node_id in stored.forgotten:
            return ForgetResult.DONE
        if node_id not in stored.node_ids:
            return ForgetResult.NOT_A_MEMBER
        next_roster = stored.without_member(
            node_id, _is_settled(runtime, stored)
        )
        if await _write(runtime, next_roster, mod_revision):
            roster_written(next_roster.epoch, 0, 1)
            return ForgetResult.DONE
    return ForgetResult.CONFLICT


async def _log_store_errors(runtime: runtimes.Runtime, step: Step) -> None:
    try:
        await step(runtime)
    except (
        store_client.StoreUnavailableError,
        store_client.StoreRefusedError,
    ) as error:
        roster_store_failed(str(error))


async def _read(runtime: runtimes.Runtime) -> None:
    await _read_stored(runtime)


async def _watch(runtime: runtimes.Runtime) -> None:
    found = await runtime.store.get(keys.ROSTER)
    start_revision = 1
    if found is not None:
        _offer(runtime, found.value)
        start_revision = found.mod_revision + 1
    async with runtime.store.watch(keys.ROSTER, start_revision) as results:
        async for result in results:
            for event in result.events:
                if event.type == "PUT":
                    _offer(runtime, event.kv.value)
            if result.canceled or not runtime.watcher_active.is_set():
                return


async def _extend(runtime: runtimes.Runtime) -> None:
    stored, mod_revision = await _read_stored(runtime)
    joining_members = _additions(runtime, stored)
    if not joining_members:
        return
    next_roster = stored.with_members(joining_members)
    if await _write(runtime, next_roster, mod_revision):
        roster_written(next_roster.epoch, len(joining_members), 0)


def _additions(
    runtime: runtimes.Runtime, roster: rosters.Roster
) -> tuple[rosters.Member, ...]:
    if not _is_settled(runtime, roster):
        return ()
    return rosters.joining_members(roster, runtime.table.all)


def _is_settled(runtime: runtimes.Runtime, roster: rosters.Roster) -> bool:
    return roster.is_settled(rosters.reported_epochs(runtime.table.all))


async def _read_stored(
    runtime: runtimes.Runtime,
) -> tuple[rosters.Roster, int]:
    """Returns the newest roster and the revision of the store's key.

    A store that has lost the key must not restart at the first epoch, so this
    node's active roster is returned if it is newer.
    """
    found = await runtime.store.get(keys.ROSTER)
    if found is not None:
        _offer(runtime, found.value)
    return runtime.roster.current, found.mod_revision if found else 0


async def _write(
    runtime: runtimes.Runtime, roster: rosters.Roster, mod_revision: int
) -> bool:
    content = roster_models.encode(roster)
    if not await runtime.store.put_if(keys.ROSTER, content, mod_revision):
        return False
    _offer(runtime, content)
    return True


def _offer(runtime: runtimes.Runtime, content: bytes) -> None:
    message = models.DocumentMessage(kind=handlers.ROSTER, content=content)
    handlers.offer_document(runtime, message, "store")
