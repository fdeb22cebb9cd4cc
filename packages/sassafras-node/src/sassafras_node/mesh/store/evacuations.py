"""Applies the operator's requests to evacuate availability zones.

The existence of a zone's key is the request, so a key holds whatever its value
is. `configuration` reads the keys together with the configuration.
"""

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import evacuation

_STORE = "store"


@events.declare(860, "INFO")
def zone_evacuated(zone: str, revision: int, source: str) -> str:
    """From now on this node sends no calls to targets of the zone.

    `revision` is that of the store, `source` the store or the node that told.
    """
    return f"zone {zone} is evacuated, as of revision {revision} of {source}"


@events.declare(861, "INFO")
def zone_taken_back(zone: str, revision: int, source: str) -> str:
    """The request to evacuate the zone is gone; its targets get calls again.

    They are considered cold until they announce that they are not.
    """
    return f"zone {zone} is in use, as of revision {revision} of {source}"


@events.declare(862, "WARNING")
def evacuated_zone_unknown(zone: str, known: str) -> str:
    """The operator evacuates a zone that this deployment does not have.

    Check the spelling of the key; `known` are the zones of the settings.
    """
    return f"evacuated zone {zone!r} is none of {known}"


@events.declare(863, "WARNING")
def evacuation_unreadable(key: str, error: str) -> str:
    """The value of a request to evacuate a zone is not valid.

    The zone is evacuated all the same. A key without a zone has no effect.
    """
    return f"evacuation {key}: {error}"


@events.declare(864, "WARNING")
def service_evacuated(service: str, zones: str) -> str:
    """All targets of a service are in evacuated zones.

    Its requests are refused with the reason `no-target`.
    """
    return f"no target of service {service} outside of {zones}"


def apply_listing(
    runtime: runtimes.Runtime, listing: interfaces.Listing
) -> None:
    """Applies all keys of the operator, as read from the store."""
    changes = _read_changes(runtime, listing)
    era = listing.position.era
    written = frozenset(
        change.zone
        for change in changes
        if runtime.store_era.is_written_since(
            eras.Position(era, change.revision)
        )
    )
    _finish(
        runtime,
        runtime.evacuations.replace(
            (change.zone for change in changes),
            listing.position.revision,
            era,
            None if _is_complete(runtime) else written,
        ),
        _STORE,
    )


def is_reread_due(runtime: runtimes.Runtime) -> bool:
    """Returns whether the operator has had time to write again what is lost."""
    return runtime.evacuations.is_provisional and _is_complete(runtime)


def _is_complete(runtime: runtimes.Runtime) -> bool:
    return runtime.store_era.is_complete(runtime.clock.now_with_suspend())


def apply_changes(
    runtime: runtimes.Runtime, listing: interfaces.Listing
) -> None:
    """Applies changes of the operator's keys, as read from the store."""
    changes = _read_changes(runtime, listing)
    _finish(
        runtime,
        runtime.evacuations.apply_changes(
            changes, listing.position.revision, listing.position.era
        ),
        _STORE,
    )


def apply_relayed(
    runtime: runtimes.Runtime,
    zones: tuple[str, ...],
    revision: int,
    era: int,
    source: str,
) -> None:
    """Applies what another node knows.

    Args:
      runtime: The node.
      zones: The evacuated zones.
      revision: Revision of the store as of which they are complete; 0 if the
        other node does not know.
      era: Era of the store of that revision.
      source: The other node, which may have learned all from an older copy.
    """
    if revision:
        written = None if _is_complete(runtime) else frozenset(zones)
        _finish(
            runtime,
            runtime.evacuations.replace(zones, revision, era, written),
            source,
        )


def _read_changes(
    runtime: runtimes.Runtime, listing: interfaces.Listing
) -> list[evacuation.ZoneChange]:
    codecs = runtime.platform.codecs
    changes: list[evacuation.ZoneChange] = []
    for item in listing.items:
        zone = codecs.evacuated_zone(item.key)
        if zone is None:
            continue
        if not zone:
            evacuation_unreadable(item.key, "the key names no zone")
            continue
        if item.value is not None and zone not in runtime.evacuations.zones:
            try:
                codecs.check_evacuation(item.key, item.value)
            except errors.InvalidInputError as error:
                evacuation_unreadable(item.key, str(error))
        changes.append(
            evacuation.ZoneChange(zone, item.value is not None, item.revision)
        )
    return changes


def _finish(
    runtime: runtimes.Runtime, difference: evacuation.Difference, source: str
) -> None:
    """Puts a change into effect, logs it and passes it on."""
    if not difference:
        return
    state = runtime.evacuations
    runtime.fleet.set_evacuated(state.zones)
    for zone in sorted(difference.begun):
        zone_evacuated(zone, state.revision, source)
    for zone in sorted(difference.ended):
        zone_taken_back(zone, state.revision, source)
    if difference.ended:
        _expect_cold_targets(runtime, difference.ended)
    if source == _STORE:
        _log_doubtful(runtime, difference.begun)
        runtime.publish_relay()


def _expect_cold_targets(
    runtime: runtimes.Runtime, ended: frozenset[str]
) -> None:
    """Has targets of zones that were taken back considered cold.

    They have had no calls, and often are. Without this, the first calls after
    the end of an evacuation would be refused by one of them after the other.
    """
    if runtime.entry.availability_zone in ended:
        runtime.target.doubt_warmth("its zone is no longer evacuated")
    if runtime.routing is None:
        return
    for entry in runtime.fleet.entries:
        if entry.availability_zone in ended and (
            cold_s := runtime.routing.cold_start_s(entry.service)
        ):
            runtime.target_tracker.record_cold(entry.node_id, cold_s)


def _log_doubtful(runtime: runtimes.Runtime, begun: frozenset[str]) -> None:
    """Logs requests that the operator may not have meant.

    Only the nodes that have read them from the store do so.
    """
    known = runtime.settings.host.availability_zones
    for zone in sorted(begun - known) if known else ():
        evacuated_zone_unknown(zone, ", ".join(sorted(known)))
    if not begun:
        return
    zones = runtime.evacuations.zones
    entries = [*runtime.fleet.entries, runtime.entry]
    for service in sorted(
        evacuation.services_without_target(
            ((e.service, e.availability_zone) for e in entries if e.service),
            zones,
        )
    ):
        service_evacuated(service, ", ".join(sorted(zones)))
