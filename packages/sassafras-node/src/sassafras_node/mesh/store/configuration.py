"""Keeps the active configuration the newest that the store has."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import eras as store_eras
from sassafras_node.mesh.store import evacuations
from sassafras_node.mesh.store import outages
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import readers
from sassafras_wire.store import client as store_client

_RETRY_S = 0.3
# A node that is no candidate for reading retries later: in an outage, the
# candidates find the store again and pass the proof on.
_OTHERS_RETRY_S = 1.0
# Delay until a node notices that it has become the reader of its zone.
_ROLE_CHECK_S = 0.25
# The difference of two times may be less than a clock can advance by.
_MIN_WAIT_S = 0.001


@events.declare(840, "INFO")
def configuration_applied(version: int, source: str, routes: int) -> str:
    """A newer configuration is active."""
    return f"configuration {version} from {source}, {routes} routes"


@events.declare(841, "ERROR")
def configuration_refused(source: str, error: str) -> str:
    """A configuration is not valid; the active one stays."""
    return f"configuration from {source} refused: {error}"


@events.declare(857, "INFO")
def configuration_unproved(stored: int, active: int, era: int) -> str:
    """The store came back from a copy that may lack the newest configuration.

    The active one stays. Requests with a key are refused once its last proof
    is too old, unless the operator has written the newest one again before.
    """
    return f"version {stored} in era {era} does not prove {active} the newest"


async def run(runtime: runtimes.Runtime) -> None:
    """Follows the configuration and the evacuations until cancelled.

    The reader of a zone watches all keys of the operator. Each response to its
    waiting calls proves that they are the newest, so the wait bounds the age of
    that proof. The other nodes get both from pings, and read when that fails.
    """
    outage_log = outages.OutageLog("configuration")
    while True:
        try:
            await _wait_until_due(runtime)
            stored = await _read(runtime)
            runtime.reaches_store = True
            outage_log.record_success()
            while runtime.readers.is_reader:
                stored = await _await_change(runtime, stored)
            if runtime.is_unproved:
                await trio.sleep(_unproved_pause_s(runtime))
        except interfaces.HistoryLostError:
            # The whole value is read instead of the changes.
            continue
        except store_client.StoreUnavailableError as error:
            runtime.reaches_store = False
            outage_log.record_failure(error)
            is_candidate = (
                runtime.settings.host.node_id in runtime.readers.candidates
            )
            await trio.sleep(_RETRY_S if is_candidate else _OTHERS_RETRY_S)


async def _wait_until_due(runtime: runtimes.Runtime) -> None:
    """Waits until this node is the reader or its proof is too old."""
    while True:
        limit_s = runtime.readers.read_after_age_s(runtime.max_proof_age_s)
        age_s = runtime.freshness.age_s(runtime.clock.now_with_suspend())
        if age_s >= limit_s:
            return
        await trio.sleep(max(_MIN_WAIT_S, min(limit_s - age_s, _ROLE_CHECK_S)))


def _unproved_pause_s(runtime: runtimes.Runtime) -> float:
    """Returns the pause of a node that read and proved nothing.

    The reader of the zone reads all the while.
    """
    is_candidate = runtime.settings.host.node_id in runtime.readers.candidates
    return _RETRY_S if is_candidate else eras.REWRITE_S


async def _read(runtime: runtimes.Runtime) -> eras.StoredConfiguration:
    requested_at = runtime.clock.now_with_suspend()
    listing = await runtime.platform.store.get_prefix(
        runtime.platform.codecs.operator_prefix
    )
    store_eras.note_position(runtime, listing.position, "configuration")
    evacuations.apply_listing(runtime, listing)
    nothing = eras.StoredConfiguration(listing.position, eras.Position(), 0)
    return _apply(runtime, nothing, listing, requested_at)


async def _await_change(
    runtime: runtimes.Runtime, stored: eras.StoredConfiguration
) -> eras.StoredConfiguration:
    if evacuations.is_reread_due(runtime):
        return await _read(runtime)
    wait_s = readers.wait_s(runtime.max_proof_age_s)
    requested_at = runtime.clock.now_with_suspend()
    listing = await runtime.platform.store.changes(
        runtime.platform.codecs.operator_prefix, stored.read_at, wait_s
    )
    runtime.reaches_store = True
    store_eras.note_position(runtime, listing.position, "configuration")
    evacuations.apply_changes(runtime, listing)
    return _apply(runtime, stored, listing, requested_at)


def _apply(
    runtime: runtimes.Runtime,
    stored: eras.StoredConfiguration,
    listing: interfaces.Listing,
    requested_at: float,
) -> eras.StoredConfiguration:
    """Applies the configuration; returns what the store has now."""
    stored = _offer_changes(runtime, stored, listing)
    if stored.proves_newest(runtime.version, runtime.store_era, requested_at):
        runtime.freshness.confirm(requested_at)
        runtime.is_unproved = False
        return stored
    if not runtime.is_unproved:
        configuration_unproved(
            stored.version, runtime.version, runtime.store_era.era
        )
    runtime.is_unproved = True
    return stored


def _offer_changes(
    runtime: runtimes.Runtime,
    stored: eras.StoredConfiguration,
    listing: interfaces.Listing,
) -> eras.StoredConfiguration:
    key = runtime.platform.codecs.configuration_key
    version, written_at = stored.version, stored.written_at
    for item in listing.items:
        if item.key == key and item.value is not None:
            version = offer(runtime, item.value, "store")
            written_at = listing.position_of(item)
            runtime.publish_relay()
    return eras.StoredConfiguration(listing.position, written_at, version)


def offer(runtime: runtimes.Runtime, document: bytes, source: str) -> int:
    """Activates a document if it is valid and newer.

    Returns:
      Its version; that of the active one if it is not valid.
    """
    try:
        decoded = runtime.platform.codecs.read_configuration(document)
    except errors.InvalidInputError as error:
        configuration_refused(source, str(error))
        return runtime.version
    if runtime.apply(document, decoded):
        configuration_applied(decoded.version, source, len(decoded.routes))
    return decoded.version
