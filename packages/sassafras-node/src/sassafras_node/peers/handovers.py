"""Preserves a home node's idempotency records across a planned restart.

The stopping node deposits its records with one peer and recovers them after
its start. There is never a second copy: the records are sent to one peer only,
which returns them once.
"""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_base import hashing
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_policy.idempotency import record_deposits
from sassafras_policy.idempotency import records
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

_SEND_TIMEOUT_S = 10.0
_FETCH_TIMEOUT_S = 2.0
_RECOVERY_TIMEOUT_S = 15.0
_RETRY_INTERVAL_S = 0.5
# More than one, as different peers may be alive at the stop and at the start.
_MAX_CANDIDATES = 5


@events.declare(350, "INFO")
def records_deposited(peer: str, count: int) -> str:
    """A planned stop has deposited the idempotency records with a peer."""
    return f"{count} idempotency records deposited with {peer}"


@events.declare(351, "WARNING")
def records_not_deposited(count: int, error: str) -> str:
    """A planned stop could not deposit its idempotency records with a peer.

    Requests with keys of this node get the outcome unknown for 910 s after its
    next start.
    """
    return f"{count} idempotency records not deposited: {error}"


@events.declare(352, "INFO")
def records_recovered(peer: str, count: int) -> str:
    """The records of the previous incarnation were recovered from a peer."""
    return f"{count} idempotency records recovered from {peer}"


@events.declare(353, "WARNING")
def records_lost() -> str:
    """The node was restarted and no peer holds its idempotency records.

    Requests with its keys get the outcome unknown until 910 s after its start.
    This is expected after a crash.
    """
    return "idempotency records of the previous incarnation are lost"


async def deposit(runtime: runtimes.Runtime) -> None:
    """Sends the records to one peer, after the last call has ended."""
    now = runtime.clock.now_with_suspend()
    if not runtime.homes.epoch or runtime.homes.may_have_lost_records(now):
        return
    if runtime.running_keys:
        records_not_deposited(
            len(runtime.idempotency),
            "requests with keys still run",
        )
        return
    entries = runtime.idempotency.take_ended(now)
    # An empty deposit is sent as well: it shows that no record was lost.
    parts = list(record_deposits.chunks(entries)) or [[]]
    problem = "no peer has room"
    for peer in _candidates(runtime):
        try:
            with trio.fail_after(_SEND_TIMEOUT_S):
                accepted = await _send(runtime, peer, parts)
        except (errors.SassafrasError, trio.TooSlowError) as error:
            # The peer may hold all records, so no other peer may get them.
            problem = repr(error)
            break
        if accepted:
            records_deposited(peer, len(entries))
            return
    records_not_deposited(len(entries), problem)


async def recover(runtime: runtimes.Runtime) -> None:
    """Recovers the records of the previous incarnation, if there was one."""
    while runtime.table.own_id not in runtime.roster.current.node_ids:
        await runtime.changed.wait()
    if not runtime.homes.may_have_lost_records(
        runtime.clock.now_with_suspend()
    ):
        return
    with trio.move_on_after(_RECOVERY_TIMEOUT_S):
        while True:
            for peer in _candidates(runtime):
                count = await _fetch_records(runtime, peer)
                if count is not None:
                    runtime.homes.mark_recovered()
                    records_recovered(peer, count)
                    return
            await trio.sleep(_RETRY_INTERVAL_S)
    records_lost()


@handlers.message_handlers.register("records_transfer")
async def handle_transfer(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Stores records of a peer that is being restarted."""
    assert isinstance(message, models.RecordsTransfer)
    now = runtime.clock.now_with_suspend()
    accepted = (
        not runtime.drain.is_draining
        and runtime.record_deposits.receive(
            link.peer.node_id,
            [_to_entry(model, now) for model in message.records],
            message.is_last,
            now,
        )
    )
    return models.RecordsAck(accepted=accepted)


@handlers.message_handlers.register("records_fetch")
async def handle_fetch(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Returns its records to a restarted peer."""
    assert isinstance(message, models.RecordsFetch)
    now = runtime.clock.now_with_suspend()
    taken = runtime.record_deposits.take(
        link.peer.node_id, message.is_first, now
    )
    if taken is None:
        return models.RecordsTransfer(found=False)
    entries, is_last = taken
    return models.RecordsTransfer(
        records=[_to_model(entry, now) for entry in entries], is_last=is_last
    )


def _candidates(runtime: runtimes.Runtime) -> list[str]:
    peers = [record.node_id for record in runtime.table.peers]
    return hashing.rendezvous(runtime.table.own_id, peers, _MAX_CANDIDATES)


async def _send(
    runtime: runtimes.Runtime,
    peer: str,
    parts: list[list[record_deposits.Entry]],
) -> bool:
    for number, part in enumerate(parts):
        now = runtime.clock.now_with_suspend()
        message = models.RecordsTransfer(
            records=[_to_model(entry, now) for entry in part],
            is_last=number == len(parts) - 1,
        )
        ack = await runtime.peer_pools.exchange(
            peer, message, models.RecordsAck
        )
        if not ack.accepted:
            return False
    return True


async def _fetch_records(runtime: runtimes.Runtime, peer: str) -> int | None:
    """Returns the number of recovered records, or None unless all came."""
    entries: list[record_deposits.Entry] = []
    is_first = True
    while True:
        reply = None
        with trio.move_on_after(_FETCH_TIMEOUT_S):
            try:
                reply = await runtime.peer_pools.exchange(
                    peer,
                    models.RecordsFetch(is_first=is_first),
                    models.RecordsTransfer,
                )
                now = runtime.clock.now_with_suspend()
                entries += [_to_entry(model, now) for model in reply.records]
            except (errors.SassafrasError, ValueError):
                return None
        if reply is None or not reply.found:
            return None
        if reply.is_last:
            break
        is_first = False
    for key, record in entries:
        runtime.idempotency.restore(key, record)
    return len(entries)


def _to_model(
    entry: record_deposits.Entry, now: float
) -> models.StoredRecordModel:
    key, record = entry
    assert record.answer is not None
    return models.StoredRecordModel(
        scope=key,
        fingerprint=record.fingerprint,
        kept=record.kept,
        remaining_ms=max(0, int((record.expires_at - now) * 1000) + 1),
        answer=converters.response_to_message(0, record.answer),
    )


def _to_entry(
    model: models.StoredRecordModel, now: float
) -> record_deposits.Entry:
    """Returns the entry of a model.

    Raises:
      ValueError: The outcome or reason of its response is not known.
    """
    return model.scope, records.Record(
        model.fingerprint,
        converters.message_to_response(model.answer),
        model.kept,
        now + model.remaining_ms / 1000,
    )
