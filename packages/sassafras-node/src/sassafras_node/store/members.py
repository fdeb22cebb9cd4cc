"""The list of an availability zone's nodes in the store."""

import json

from sassafras_policy.membership import records
from sassafras_wire.peer import converters
from sassafras_wire.peer import models
from sassafras_wire.store import client as store_client
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.store import keys

_WRITE_INTERVAL_S = 2.0


async def run(runtime: runtimes.Runtime) -> None:
    """Reads the lists once, then writes this zone's while being watcher."""
    while not runtime.table.peers:
        try:
            await _read_all(runtime)
            break
        except (
            store_client.StoreUnavailableError,
            store_client.StoreRefusedError,
        ):
            await trio.sleep(_WRITE_INTERVAL_S)
    written: list[str] | None = None
    while True:
        await trio.sleep(_WRITE_INTERVAL_S)
        members = _members(runtime)
        if not runtime.watch_wanted.is_set() or members == written:
            continue
        try:
            if await _write(runtime):
                written = members
        except (
            store_client.StoreUnavailableError,
            store_client.StoreRefusedError,
        ):
            continue


def _members(runtime: runtimes.Runtime) -> list[str]:
    zone = runtime.settings.host.availability_zone
    return sorted(
        record.node_id
        for record in [*runtime.table.peers, runtime.table.own]
        if record.availability_zone == zone
    )


async def _read_all(runtime: runtimes.Runtime) -> None:
    for found in await runtime.store.get_prefix(keys.ZONES):
        if not found.key.endswith(b"/members"):
            continue
        for item in json.loads(found.value):
            model = models.NodeRecordModel.model_validate(item)
            runtime.table.merge([converters.model_to_record(model)])


async def _write(runtime: runtimes.Runtime) -> bool:
    zone = runtime.settings.host.availability_zone
    key = keys.zone_members(zone)
    content = [
        converters.record_to_model(record).model_dump()
        for record in [*runtime.table.peers, runtime.table.own]
        if record.availability_zone == zone
        and record.status <= records.Status.SUSPECT
    ]
    found = await runtime.store.get(key)
    return await runtime.store.put_if(
        key,
        json.dumps(content).encode(),
        found.mod_revision if found else 0,
    )
