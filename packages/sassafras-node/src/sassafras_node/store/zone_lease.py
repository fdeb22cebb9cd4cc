"""Election of the watcher of an availability zone, by a lease.

The first few live nodes of an availability zone, in hash order, are candidates;
the others do not call the store, so its load does not grow with the fleet. One
candidate holds the lease and renews it; the others wait on a watch of its key.
"""

import trio

from sassafras_base import events
from sassafras_base import hashing
from sassafras_node import runtime as runtimes
from sassafras_node.store import keys
from sassafras_wire.store import client as store_client

CANDIDATE_COUNT = 3

_RENEWALS_PER_LEASE = 2.5
# A new node receives its peers' records within this time; before, it would
# consider itself the only node of its availability zone.
_START_DELAY_S = 1.0
# Keeps candidates that lose a race from retrying at once.
_CAMPAIGN_INTERVAL_S = 0.2
# Replaces a watch whose connection died unnoticed.
_STANDBY_REFRESH_S = 60.0


@events.declare(501, "INFO")
def became_watcher(availability_zone: str) -> str:
    """This node now watches the store for its availability zone."""
    return f"watching the store for availability zone {availability_zone}"


@events.declare(502, "WARNING")
def store_unavailable(error: str) -> str:
    """The platform's key-value service does not respond.

    Calls are not affected; the configuration cannot be changed until it does.
    """
    return f"store unavailable: {error}"


@events.declare(504, "INFO")
def watcher_ended(availability_zone: str, reason: str) -> str:
    """This node no longer watches the store for its availability zone.

    Another node of the zone takes over, at the latest when the lease expires.
    Two watchers at a time are harmless.
    """
    return f"stopped watching for {availability_zone}: {reason}"


@events.declare(505, "INFO")
def store_available() -> str:
    """The platform's key-value service responds again."""
    return "store available again"


async def run(runtime: runtimes.Runtime) -> None:
    """Campaigns for the lease while a candidate, and renews it while held."""
    runtime.stop_watching()
    retry_s = runtime.settings.store.lease_s / 2
    was_available = True
    await trio.sleep(_START_DELAY_S)
    while True:
        if not is_candidate(runtime):
            await runtime.changed.wait()
            continue
        try:
            await _campaign(runtime)
            if not was_available:
                store_available()
            was_available = True
            await trio.sleep(_CAMPAIGN_INTERVAL_S)
        except (
            store_client.StoreUnavailableError,
            store_client.StoreRefusedError,
        ) as error:
            # Logs one line for each outage, not one for each attempt.
            if was_available:
                store_unavailable(str(error))
            was_available = False
            await trio.sleep(retry_s)
        finally:
            runtime.stop_watching()


def is_candidate(runtime: runtimes.Runtime) -> bool:
    """Returns whether this node is among those that campaign."""
    zone = runtime.settings.host.availability_zone
    alive = [
        record.node_id
        for record in runtime.table.peers
        if record.availability_zone == zone
    ]
    own_id = runtime.table.own_id
    return own_id in hashing.rendezvous(zone, [own_id, *alive], CANDIDATE_COUNT)


async def _campaign(runtime: runtimes.Runtime) -> None:
    """Acquires the lease and holds it, or waits until its holder is gone."""
    zone = runtime.settings.host.availability_zone
    key = keys.zone_watcher(zone)
    own_id = runtime.table.own_id
    found = await runtime.store.get(key)
    if found is None:
        lease = await runtime.store.grant_lease(runtime.settings.store.lease_s)
        if not await runtime.store.put_if(key, own_id.encode(), 0, lease):
            await runtime.store.revoke_lease(lease)
            return
    elif found.value == own_id.encode():
        # Acquired before this task or the process was restarted, or by a write
        # whose response was lost.
        lease = found.lease
    else:
        await _wait_for_deletion(runtime, key, found.mod_revision + 1)
        return
    await _hold(runtime, zone, lease)


async def _wait_for_deletion(
    runtime: runtimes.Runtime, key: str, start_revision: int
) -> None:
    failure: store_client.StoreUnavailableError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_unless_candidate, runtime, nursery)
        try:
            with trio.move_on_after(_STANDBY_REFRESH_S):
                async with runtime.store.watch(key, start_revision) as results:
                    async for changes in results:
                        if changes.canceled or changes.events:
                            break
        except store_client.StoreUnavailableError as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _cancel_unless_candidate(
    runtime: runtimes.Runtime, nursery: trio.Nursery
) -> None:
    while is_candidate(runtime):
        await runtime.changed.wait()
    nursery.cancel_scope.cancel()


async def _hold(runtime: runtimes.Runtime, zone: str, lease: int) -> None:
    settings = runtime.settings.store
    interval_s = settings.lease_s / _RENEWALS_PER_LEASE
    if not await runtime.store.renew_lease(lease):
        return
    became_watcher(zone)
    runtime.start_watching()
    reason = "stopped"
    try:
        while True:
            renewed_at = runtime.clock.now_with_suspend()
            await trio.sleep(interval_s)
            paused_s = runtime.clock.now_with_suspend() - renewed_at
            if paused_s > settings.lease_s:
                # Another node may hold the lease by now. A renewal would show
                # that too, but only if the store responds.
                reason = f"paused for {paused_s:.0f} s"
                return
            if not await runtime.store.renew_lease(lease):
                reason = "the lease has lapsed"
                return
    except store_client.StoreUnavailableError:
        reason = "the store does not answer"
        raise
    finally:
        watcher_ended(zone, reason)
        runtime.stop_watching()
