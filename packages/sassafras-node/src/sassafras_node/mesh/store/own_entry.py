"""Keeps this node's entry in the store, under a lease."""

import trio

from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import outages
from sassafras_policy.mesh import targets
from sassafras_wire.store import client as store_client

# A node that has lost the store stops serving requests with keys after some
# time. Its entry lasts longer than that, so that its share of the rates is not
# given to others while it still uses it.
_LEASE_MARGIN_S = 1.0
_RENEWALS_PER_LEASE = 3.0
_RETRY_S = 0.5
# The target announces itself shortly after the node has started; waiting for
# it saves a write and a message to every other node.
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
    """Keeps the entry until cancelled.

    The entry of the previous process is read before it is overwritten.
    """
    await runtime.target.restored.wait()
    with trio.move_on_after(_FIRST_WRITE_DELAY_S):
        await runtime.entry_changed.wait()
    outage_log = outages.OutageLog("entry")
    while True:
        try:
            await _maintain_lease(runtime, outage_log)
            runtime.stored_entry_number = 0
            entry_lapsed()
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)


async def _maintain_lease(
    runtime: runtimes.Runtime, outage_log: outages.OutageLog
) -> None:
    """Writes the entry at each change until it or its lease is gone.

    After a write that fails, the next attempt starts with a new lease, and the
    compare-and-swap orders the writes of the two.
    """
    store = runtime.platform.store
    ttl_s = max(
        runtime.settings.store.min_lease_s,
        runtime.settings.bounds.revocation_s + _LEASE_MARGIN_S,
    )
    lease = await store.grant_lease(ttl_s)
    runtime.lease = lease
    revision = 0
    written: bytes | None = None
    while True:
        changed = runtime.entry_changed
        entry = runtime.entry
        value = entries.encode(entry)
        if value != written:
            revision = await _write(runtime, value, revision, lease)
            if revision == 0:
                return
            written = value
            runtime.record_stored_entry(entry.number, revision)
            outage_log.record_success()
            entry_written(revision, _state(runtime))
        await _wait(runtime, changed, ttl_s / _RENEWALS_PER_LEASE)
        if runtime.own_entry_removed.is_set():
            return
        if not changed.is_set() and not await _renew(
            runtime, lease, outage_log
        ):
            return


async def _renew(
    runtime: runtimes.Runtime, lease: int, outage_log: outages.OutageLog
) -> bool:
    """Renews the lease, also after an outage; returns False if it has ended.

    A renewal costs the store less than a new lease and a write.
    """
    while True:
        try:
            is_alive = await runtime.platform.store.renew_lease(lease)
        except store_client.StoreUnavailableError as error:
            runtime.reaches_store = False
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)
            continue
        runtime.reaches_store = True
        outage_log.record_success()
        return is_alive


async def _wait(
    runtime: runtimes.Runtime, changed: trio.Event, max_s: float
) -> None:
    """Waits for a change or removal of the entry, at most `max_s`."""
    with trio.move_on_after(max_s):
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
    """Overwrites the entry; returns 0 if the lease has ended."""
    store = runtime.platform.store
    key = entries.key_of(runtime.settings.host.node_id)
    while True:
        written = await store.compare_and_swap(key, value, revision, lease)
        if written >= 0:
            return written
        # Written by an earlier process, or by a write whose response was lost.
        listing = await store.get(key)
        revision = listing.items[0].revision if listing.items else 0


async def withdraw(runtime: runtimes.Runtime) -> None:
    """Ends the lease, and with it the entry, before the node stops.

    The entry of a node whose target has left stays until the lease expires, so
    that the next process does not take a late announcement for a new one.
    """
    target = runtime.entry.target
    has_left = target is not None and target.state is not targets.State.READY
    if not runtime.lease or has_left:
        return
    try:
        await runtime.platform.store.revoke_lease(runtime.lease)
    except store_client.StoreUnavailableError as error:
        # The store removes the entry when the lease expires.
        outages.store_lost("entry", str(error))


def _state(runtime: runtimes.Runtime) -> str:
    target = runtime.target.announcement
    return str(target.state) if target else "without target"
