"""Lists of the availability zones' nodes in the store."""

import json

import pydantic
import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.store import keys
from sassafras_policy.membership import records
from sassafras_wire.peer import converters
from sassafras_wire.peer import models
from sassafras_wire.store import client as store_client

_WRITE_INTERVAL_S = 2.0
# Time for the configured seeds to respond; most starting nodes then need not
# read the lists.
_SEED_TIMEOUT_S = 2.0
_MAX_READ_INTERVAL_S = 30.0

_STORE_ERRORS = (
    store_client.StoreUnavailableError,
    store_client.StoreRefusedError,
)
_RecordList = pydantic.TypeAdapter(list[models.NodeRecordModel])


@events.declare(506, "WARNING")
def member_list_refused(key: str, faults: int) -> str:
    """A list of nodes in the store is not valid and is ignored.

    The availability zone's watcher writes a valid one at the next change.
    """
    return f"list {key} has {faults} faults and is ignored"


async def run(runtime: runtimes.Runtime) -> None:
    """Reads the lists while no peer is known; writes one as the watcher."""
    await trio.sleep(_SEED_TIMEOUT_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read_until_peers_are_known, runtime)
        await _write_changes(runtime)


async def _read_until_peers_are_known(runtime: runtimes.Runtime) -> None:
    interval_s = _WRITE_INTERVAL_S
    while not runtime.table.peers:
        try:
            await _read_all(runtime)
        except _STORE_ERRORS:
            pass
        await trio.sleep(interval_s)
        interval_s = min(2 * interval_s, _MAX_READ_INTERVAL_S)


async def _write_changes(runtime: runtimes.Runtime) -> None:
    while True:
        await runtime.watcher_active.wait()
        written: list[str] = []
        mod_revision = -1
        while runtime.watcher_active.is_set():
            changed = runtime.changed
            members = _members(runtime)
            ids = [record.node_id for record in members]
            if ids != written:
                try:
                    mod_revision = await _write(runtime, members, mod_revision)
                except _STORE_ERRORS:
                    mod_revision = -1
                else:
                    written = ids if mod_revision >= 0 else written
            await trio.sleep(_WRITE_INTERVAL_S)
            if ids == written:
                with trio.move_on_after(_MAX_READ_INTERVAL_S):
                    await changed.wait()


def _members(runtime: runtimes.Runtime) -> list[records.NodeRecord]:
    zone = runtime.settings.host.availability_zone
    return sorted(
        (
            record
            for record in [*runtime.table.peers, runtime.table.own]
            if record.availability_zone == zone
        ),
        key=lambda record: record.node_id,
    )


async def _read_all(runtime: runtimes.Runtime) -> None:
    for found in await runtime.store.get_prefix(keys.ZONES):
        if not found.key.endswith(b"/members"):
            continue
        try:
            listed = _RecordList.validate_json(found.value)
        except pydantic.ValidationError as error:
            member_list_refused(found.key.decode(), error.error_count())
            continue
        runtime.table.merge(map(converters.model_to_record, listed))


async def _write(
    runtime: runtimes.Runtime,
    members: list[records.NodeRecord],
    mod_revision: int,
) -> int:
    """Writes the list; returns its revision, or -1 after a lost race."""
    key = keys.zone_members(runtime.settings.host.availability_zone)
    if mod_revision < 0:
        found = await runtime.store.get(key)
        mod_revision = found.mod_revision if found else 0
    content = [
        converters.record_to_model(record).model_dump() for record in members
    ]
    return await runtime.store.compare_and_swap(
        key, json.dumps(content).encode(), mod_revision
    )
