"""Keeps this node's entry in the store, under a lease."""

import dataclasses

import trio

from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.peers import lease_renewal
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import eras as store_eras
from sassafras_node.mesh.store import outages
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import targets
from sassafras_wire.store import client as store_client

_RENEWALS_PER_LEASE = 3.0
_RETRY_S = 0.5
_CHANGE_DELAY_S = 0.05
# A sleep does not end sooner for the time that the process was suspended.
_SUSPEND_CHECK_S = 0.5


@events.declare(844, "INFO")
def entry_written(revision: int, state: str) -> str:
    """This node's entry in the store is up to date."""
    return f"entry written at revision {revision}: {state}"


@events.declare(845, "WARNING")
def entry_lapsed() -> str:
    """The lease of this node's entry has ended; it is written again."""
    return "the lease of this node's entry has ended"


@dataclasses.dataclass(frozen=True, slots=True)
class _Written:
    """The entry that the store has, as far as this node knows."""

    number: int
    value: bytes


async def run(runtime: runtimes.Runtime) -> None:
    """Keeps the entry until cancelled.

    The entry of the previous process is read before it is overwritten. It is
    written before the entries of the others are read, so that of two nodes that
    start together the later one knows the earlier.
    """
    outage_log = outages.OutageLog("entry")
    while True:
        try:
            if not runtime.target.restored.is_set():
                await _restore_target(runtime)
            await _maintain_lease(runtime, outage_log)
            runtime.rate_lease.end()
            runtime.stored_entry_number = 0
            entry_lapsed()
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)


async def _restore_target(runtime: runtimes.Runtime) -> None:
    """Restores the local target from the entry of this node's last process."""
    host = runtime.settings.host
    listing = await runtime.platform.store.get(entries.key_of(host.node_id))
    store_eras.note_position(runtime, listing.position, "entry")
    now_ms = runtime.clock.wall() * 1000
    for item in listing.items:
        previous = entries.decode(item.value) if item.value else None
        if previous is None or previous.target is None:
            continue
        if not targets.find_fault(
            previous.target, host.target_service, host.target_address, now_ms
        ):
            runtime.target.restore(previous.target)
    runtime.target.restored.set()


async def _maintain_lease(
    runtime: runtimes.Runtime, outage_log: outages.OutageLog
) -> None:
    """Keeps the entry under one lease until it or the lease is gone.

    A lease and a revision belong to one era of the store. After the store has
    come back from a copy, both stay in use only if the copy has the entry.
    """
    entry_lease = await _grant_lease(runtime)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _keep_renewed,
            runtime,
            entry_lease,
            outage_log,
            nursery.cancel_scope,
        )
        await _keep_written(runtime, entry_lease, outage_log)
        nursery.cancel_scope.cancel()


@dataclasses.dataclass(slots=True)
class _EntryLease:
    """The lease of the entry.

    Attributes:
      length_s: How long it lasts after the arrival of a call.
      ends_at: When it ends at the earliest; counted from before the last call
        that was answered, on the clock that counts suspend.
    """

    length_s: float
    ends_at: float


async def _grant_lease(runtime: runtimes.Runtime) -> _EntryLease:
    sent_at = runtime.clock.now_with_suspend()
    lease = await runtime.platform.store.grant_lease(runtime.lease_s)
    store_eras.note(runtime, lease.era, None, "entry")
    runtime.lease, runtime.lease_era = lease.number, lease.era
    length_s = min(runtime.lease_s, lease.length_s)
    return _EntryLease(length_s, sent_at + length_s)


async def _keep_written(
    runtime: runtimes.Runtime,
    entry_lease: _EntryLease,
    outage_log: outages.OutageLog,
) -> None:
    """Writes the entry at each change until it or its lease is gone.

    A write without an answer is sent again; the compare-and-swap orders the
    two.
    """
    written: _Written | None = None
    revision = 0
    is_checked = runtime.store_era.era == 0
    while True:
        changed = runtime.entry_changed
        if written is not None and _is_check_due(runtime, is_checked):
            # Calls of the era before may still take effect for some seconds,
            # so the entry is checked once more when they have ended.
            is_checked = _is_complete(runtime)
            position = await _find_written(runtime, written, outage_log)
            if position is None:
                return
            revision = position.revision
            runtime.lease_era = position.era
            runtime.record_stored_entry(written.number, position)
        entry = runtime.entry
        value = entries.encode(entry)
        if written is None or value != written.value:
            record = entries.encode_record(entry)
            kept = (
                ((entries.record_key_of(entry.node_id), record),)
                if written is None
                else ()
            )
            try:
                position = await _write(runtime, value, revision, kept)
            except store_client.StoreUnavailableError as error:
                outage_log.record_failure(error)
                await trio.sleep(_RETRY_S)
                continue
            if position is None:
                return
            revision = position.revision
            if written is None:
                runtime.begin_lease(entry_lease.ends_at)
            written = _Written(entry.number, value)
            runtime.record_stored_entry(entry.number, position)
            outage_log.record_success()
            entry_written(revision, _state(runtime))
        await _wait(
            runtime, changed, entry_lease.length_s / _RENEWALS_PER_LEASE
        )
        if runtime.own_entry_removed.is_set():
            return


def _is_check_due(runtime: runtimes.Runtime, is_checked: bool) -> bool:
    """Returns whether the store may have lost this node's entry or lease."""
    if runtime.lease_era != runtime.store_era.era:
        return True
    return not is_checked and _is_complete(runtime)


def _is_complete(runtime: runtimes.Runtime) -> bool:
    return runtime.store_era.is_complete(runtime.clock.now_with_suspend())


async def _find_written(
    runtime: runtimes.Runtime, written: _Written, outage_log: outages.OutageLog
) -> eras.Position | None:
    """Returns where the store has this node's entry as it was written last.

    Returns:
      None if it has none, another one, or one under another lease. The number
      of a lease may have been given to another node since the copy.
    """
    key = entries.key_of(runtime.settings.host.node_id)
    while True:
        try:
            listing = await runtime.platform.store.get(key)
            store_eras.note_position(runtime, listing.position, "entry")
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)
            continue
        outage_log.record_success()
        for item in listing.items:
            if item.value == written.value and item.lease == runtime.lease:
                return listing.position_of(item)
        return None


async def _keep_renewed(
    runtime: runtimes.Runtime,
    entry_lease: _EntryLease,
    outage_log: outages.OutageLog,
    scope: trio.CancelScope,
) -> None:
    """Renews the lease, also after an outage; cancels a scope at its end.

    A renewal costs the store less than a new lease and a write. It does not
    wait for writes: while the store rejects this node, other nodes renew.
    """
    interval_s = entry_lease.length_s / _RENEWALS_PER_LEASE
    peers = lease_renewal.PeerRenewals(runtime)
    while True:
        due_at = entry_lease.ends_at - entry_lease.length_s + interval_s
        while (left_s := due_at - runtime.clock.now_with_suspend()) > 0:
            await trio.sleep(min(left_s, _SUSPEND_CHECK_S))
        era = runtime.lease_era
        sent_at = runtime.clock.now_with_suspend()
        lease: interfaces.Lease | None = None
        if era == runtime.store_era.era:
            lease = await _renew_directly(runtime, outage_log)
            if lease is None:
                lease = await peers.renew()
            else:
                peers.end()
        if lease is None or lease.era != era:
            await trio.sleep(_RETRY_S)
        elif lease.number == runtime.lease:
            entry_lease.ends_at = sent_at + entry_lease.length_s
            runtime.renew_lease(entry_lease.ends_at)
        else:
            scope.cancel()
            return


async def _renew_directly(
    runtime: runtimes.Runtime, outage_log: outages.OutageLog
) -> interfaces.Lease | None:
    """Returns the answer of the store; None if it does not answer."""
    try:
        lease = await runtime.platform.store.renew_lease(runtime.lease)
        store_eras.note(runtime, lease.era, None, "entry")
    except store_client.StoreUnavailableError as error:
        runtime.reaches_store = False
        outage_log.record_failure(error)
        return None
    runtime.reaches_store = True
    outage_log.record_success()
    return lease


async def _wait(
    runtime: runtimes.Runtime, changed: trio.Event, max_s: float
) -> None:
    """Waits for a change or loss of the entry, at most `max_s`."""
    with trio.move_on_after(max_s):
        async with trio.open_nursery() as nursery:

            async def wait_for(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for, changed)
            nursery.start_soon(wait_for, runtime.own_entry_removed)
            nursery.start_soon(wait_for, runtime.era_changed)
    if changed.is_set():
        # Changes come in pairs, such as the last state of a target and its
        # successor's first.
        await trio.sleep(_CHANGE_DELAY_S)


async def _write(
    runtime: runtimes.Runtime,
    value: bytes,
    revision: int,
    kept: tuple[tuple[str, bytes], ...],
) -> eras.Position | None:
    """Overwrites the entry; returns where, or None if the lease has ended.

    The first write under a lease has the node's record with it. Wherever the
    store has the entry, in a copy as well, it has the record.

    It has also ended for this node if the response is of a newer era than the
    lease. The write may then have met a revision that was given out again, and
    the lease may be that of another node.
    """
    store = runtime.platform.store
    key = entries.key_of(runtime.settings.host.node_id)
    while True:
        written = await store.compare_and_swap(
            key, value, revision, runtime.lease, kept
        )
        store_eras.note(runtime, written.era, None, "entry")
        if written.era != runtime.lease_era or written.revision == 0:
            return None
        if written.revision > 0:
            return eras.Position(written.era, written.revision)
        # Written by an earlier process, or by a write whose response was lost.
        listing = await store.get(key)
        store_eras.note_position(runtime, listing.position, "entry")
        if listing.position.era != runtime.lease_era:
            return None
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
    if runtime.lease_era != runtime.store_era.era:
        # The lease may be that of another node by now.
        return
    try:
        await runtime.platform.store.revoke_lease(runtime.lease)
    except store_client.StoreUnavailableError as error:
        # The store removes the entry when the lease expires.
        outages.store_lost("entry", str(error))


def _state(runtime: runtimes.Runtime) -> str:
    target = runtime.target.announcement
    return str(target.state) if target else "without target"
