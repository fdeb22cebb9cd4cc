"""Election of the watcher of an availability zone, by a lease."""

from sassafras_base import events
from sassafras_wire.store import client as store_client
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.store import keys

_RENEWALS_PER_LEASE = 3


@events.declare(501, "INFO")
def became_watcher(availability_zone: str) -> str:
    """This node now watches the store for its availability zone."""
    return f"watching the store for availability zone {availability_zone}"


@events.declare(502, "WARNING")
def store_unavailable(error: str) -> str:
    """The platform's key-value service does not answer.

    Calls go on; configuration changes cannot be made until it is back.
    """
    return f"store unavailable: {error}"


async def run(runtime: runtimes.Runtime) -> None:
    """Campaigns for the lease, and renews it while it is held."""
    while True:
        try:
            await _campaign(runtime)
        except (
            store_client.StoreUnavailableError,
            store_client.StoreRefusedError,
        ) as error:
            store_unavailable(str(error))
        runtime.watch_wanted = trio.Event()
        await trio.sleep(runtime.settings.store.lease_s / 2)


async def _campaign(runtime: runtimes.Runtime) -> None:
    settings = runtime.settings.store
    key = keys.zone_watcher(runtime.settings.host.availability_zone)
    if await runtime.store.get(key) is not None:
        return
    lease = await runtime.store.grant_lease(settings.lease_s)
    own_id = runtime.table.own_id
    if not await runtime.store.put_if(key, own_id.encode(), 0, lease):
        await runtime.store.revoke_lease(lease)
        return
    became_watcher(runtime.settings.host.availability_zone)
    runtime.watch_wanted.set()
    while await runtime.store.keep_lease(lease):
        await trio.sleep(settings.lease_s / _RENEWALS_PER_LEASE)
