"""Keeps this node's entry in the store, under a lease."""

import trio

from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import reach
from sassafras_wire.store import client as store_client

# The entry outlives the time in which a node that has lost the store stops
# serving requests with keys, so that its part of the rates is not given to
# others while it still uses it.
_LEASE_MARGIN_S = 1.0
_KEEPS_IN_LEASE = 3.0
_RETRY_S = 0.5
# At the start the target announces itself a little after the node; waiting
# for it saves a write and a message to every other node.
_FIRST_WRITE_DELAY_S = 1.0
_CHANGE_DELAY_S = 0.05


@events.declare(844, "INFO")
def entry_written(revision: int, state: str) -> str:
    """This node's entry in the store is up to date."""
    return f"entry written at revision {revision}: {state}"


@events.declare(845, "WARNING")
def entry_lapsed() -> str:
    """The lease of this node's entry has ended; it is written again."""
    return "the lease of this node's entry has ended"


async def run(runtime: runtimes.Runtime) -> None:
    """Keeps the entry until cancelled."""
    with trio.move_on_after(_FIRST_WRITE_DELAY_S):
        await runtime.entry_changed.wait()
    store = reach.Reach("entry")
    while True:
        try:
            await _keep_one_lease(runtime, store)
            entry_lapsed()
        except store_client.StoreUnavailableError as error:
            store.lost(error)
            await trio.sleep(_RETRY_S)


async def _keep_one_lease(
    runtime: runtimes.Runtime, reached: reach.Reach
) -> None:
    """Writes the entry with each change; returns when it or the lease is gone.

    A call that fails leaves the lease as it is, so the next attempt starts
    with a new one, and the condition of the write orders the two.
    """
    store = runtime.platform.store
    ttl_s = max(
        runtime.settings.store.smallest_lease_s,
        runtime.settings.bounds.revocation_s + _LEASE_MARGIN_S,
    )
    lease = await store.grant_lease(ttl_s)
    runtime.lease = lease
    revision = 0
    written: bytes | None = None
    while True:
        changed = runtime.entry_changed
        value = entries.encode(runtime.entry)
        if value != written:
            revision = await _write(runtime, value, revision, lease)
            if revision == 0:
                return
            written = value
            runtime.own_entry_removed = trio.Event()
            reached.regained()
            entry_written(revision, _state(runtime))
        await _wait(runtime, changed, ttl_s / _KEEPS_IN_LEASE)
        if runtime.own_entry_removed.is_set():
            return
        if not changed.is_set() and not await store.keep_lease(lease):
            return


async def _wait(
    runtime: runtimes.Runtime, changed: trio.Event, longest_s: float
) -> None:
    """Waits until the entry has changed, was removed, or is to be kept."""
    with trio.move_on_after(longest_s):
        async with trio.open_nursery() as nursery:

            async def wait_for(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for, changed)
            nursery.start_soon(wait_for, runtime.own_entry_removed)
    if changed.is_set():
        # Changes come in pairs, such as the last state of a target and its
        # successor's first.
        await trio.sleep(_CHANGE_DELAY_S)


async def _write(
    runtime: runtimes.Runtime, value: bytes, revision: int, lease: int
) -> int:
    """Writes the entry over what is there; returns 0 without a lease."""
    store = runtime.platform.store
    key = entries.key_of(runtime.settings.host.node_id)
    while True:
        written = await store.swap(key, value, revision, lease)
        if written >= 0:
            return written
        # An earlier process of this node, or a write whose answer was lost.
        listing = await store.get(key)
        revision = listing.items[0].revision if listing.items else 0


async def withdraw(runtime: runtimes.Runtime) -> None:
    """Ends the lease, and with it the entry, before the node stops."""
    if not runtime.lease:
        return
    try:
        await runtime.platform.store.revoke_lease(runtime.lease)
    except store_client.StoreUnavailableError as error:
        # The entry ends when the lease has run out.
        reach.store_lost("entry", str(error))


def _state(runtime: runtimes.Runtime) -> str:
    target = runtime.target.announcement
    return str(target.state) if target else "without target"
