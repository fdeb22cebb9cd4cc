"""Keeps the active configuration the newest that the store has."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import outages
from sassafras_wire.store import client as store_client

# Each response to a waiting call proves that the configuration is the newest,
# so the wait bounds the age of that proof. Three proofs fit into the time in
# which a withdrawn key must stop working.
_WAITS_PER_REVOCATION = 3.0
_RETRY_S = 0.3


@events.declare(840, "INFO")
def configuration_applied(version: int, source: str, routes: int) -> str:
    """A newer configuration is active."""
    return f"configuration {version} from {source}, {routes} routes"


@events.declare(841, "ERROR")
def configuration_refused(source: str, error: str) -> str:
    """A configuration is not valid; the active one stays."""
    return f"configuration from {source} refused: {error}"


async def run(runtime: runtimes.Runtime) -> None:
    """Follows the configuration until cancelled."""
    outage_log = outages.OutageLog("configuration")
    while True:
        try:
            revision = await _read(runtime)
            outage_log.record_success()
            while True:
                revision = await _await_change(runtime, revision)
        except interfaces.HistoryLostError:
            # The whole value is read instead of the changes.
            continue
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)


async def _read(runtime: runtimes.Runtime) -> int:
    requested_at = runtime.clock.now_with_suspend()
    listing = await runtime.platform.store.get(
        runtime.platform.codecs.configuration_key
    )
    _offer_changes(runtime, listing)
    runtime.freshness.confirm(requested_at)
    return listing.revision


async def _await_change(runtime: runtimes.Runtime, revision: int) -> int:
    wait_s = runtime.settings.bounds.revocation_s / _WAITS_PER_REVOCATION
    requested_at = runtime.clock.now_with_suspend()
    listing = await runtime.platform.store.changes(
        runtime.platform.codecs.configuration_key, revision, wait_s
    )
    _offer_changes(runtime, listing)
    runtime.freshness.confirm(requested_at)
    return listing.revision


def _offer_changes(
    runtime: runtimes.Runtime, listing: interfaces.Listing
) -> None:
    key = runtime.platform.codecs.configuration_key
    for item in listing.items:
        if item.key == key and item.value is not None:
            offer(runtime, item.value, "store")


def offer(runtime: runtimes.Runtime, document: bytes, source: str) -> None:
    """Activates a document if it is valid and newer."""
    try:
        decoded = runtime.platform.codecs.read_configuration(document)
    except errors.InvalidInputError as error:
        configuration_refused(source, str(error))
        return
    if runtime.apply(document, decoded):
        configuration_applied(decoded.version, source, len(decoded.routes))
