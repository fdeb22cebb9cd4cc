"""Audit records of operators' changes, kept in the store.

A record is written before its change and completed after it, so that every
change has one.
"""

import secrets

import pydantic

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.store import keys
from sassafras_node.store import numbered_keys
from sassafras_wire.administration import models
from sassafras_wire.store import client as store_client

MAX_RECORDS = 1000

_ATTEMPTS = 5
_RECORD_ID_BYTES = 8


@events.declare(602, "WARNING")
def audit_incomplete(number: int, outcome: str, error: str) -> str:
    """The outcome of a change could not be added to its audit record.

    The record remains `attempted`; this log line has the outcome.
    """
    return f"audit record {number} not completed with {outcome}: {error}"


@events.declare(603, "WARNING")
def audit_unreadable(key: str, faults: int) -> str:
    """An audit record in the store is not valid and is omitted from the list.

    A node of another version or another program may have written it.
    """
    return f"audit record {key} has {faults} faults"


async def begin(
    runtime: runtimes.Runtime,
    operator: str,
    action: str,
    subject: str,
    note: str,
    revision: int,
) -> models.AuditRecord:
    """Writes the record of a change that is about to be attempted.

    Raises:
      StoreUnavailableError: No response; the change must not be made.
      StoreRefusedError: The store responded with an error.
    """
    record_id = secrets.token_hex(_RECORD_ID_BYTES)
    for _ in range(_ATTEMPTS):
        numbers = await numbered_keys.list_numbers(runtime.store, keys.AUDIT)
        record = models.AuditRecord(
            number=numbers[-1] + 1 if numbers else 1,
            record_id=record_id,
            operator=operator,
            action=action,
            subject=subject,
            revision=revision,
            wall_time_s=runtime.clock.wall(),
            note=note,
        )
        if await numbered_keys.put_new(
            runtime.store, keys.AUDIT, record.number, _encode(record)
        ):
            await numbered_keys.trim(
                runtime.store,
                keys.AUDIT,
                [*numbers, record.number],
                MAX_RECORDS,
            )
            return record
    raise store_client.StoreRefusedError(
        "store.audit", "store", "other changes took each number first"
    )


async def finish(
    runtime: runtimes.Runtime,
    record: models.AuditRecord,
    outcome: models.WriteOutcome,
    revision: int,
) -> None:
    """Adds the outcome to a record; a failure is logged, not raised."""
    key = f"{keys.AUDIT}{record.number}"
    completed = record.model_copy(
        update={"outcome": outcome, "revision": revision}
    )
    try:
        found = await runtime.store.get(key)
        if found is not None:
            await runtime.store.put_if(
                key, _encode(completed), found.mod_revision
            )
    except (
        store_client.StoreUnavailableError,
        store_client.StoreRefusedError,
    ) as error:
        audit_incomplete(record.number, str(outcome), str(error))


async def newest(
    runtime: runtimes.Runtime, limit: int
) -> list[models.AuditRecord]:
    """Returns the newest records, the newest first.

    Raises:
      StoreUnavailableError: No response.
      StoreRefusedError: The store responded with an error.
    """
    records: list[models.AuditRecord] = []
    for found in await runtime.store.get_prefix(keys.AUDIT):
        try:
            records.append(models.AuditRecord.model_validate_json(found.value))
        except pydantic.ValidationError as error:
            audit_unreadable(found.key.decode(), error.error_count())
    records.sort(key=lambda record: record.number, reverse=True)
    return records[:limit]


def _encode(record: models.AuditRecord) -> bytes:
    return record.model_dump_json().encode()
