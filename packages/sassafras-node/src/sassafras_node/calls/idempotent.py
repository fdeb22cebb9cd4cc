"""Calls with an idempotency key, at the home node of the key."""

import dataclasses
import enum
import functools

import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import deadlines
from sassafras_node.calls import local
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import indexes
from sassafras_policy.idempotency import homes
from sassafras_policy.idempotency import records
from sassafras_wire.http import fields
from sassafras_wire.peer import converters
from sassafras_wire.peer import models

_MAX_KEY_LENGTH = 255
_CLAIM_TIMEOUT_S = 1.0


class RecordState(enum.StrEnum):
    """State of a key at an earlier home.

    Attributes:
      NONE: The home has no record and will not run the key any more.
      HELD: The home has handed its record over.
      UNKNOWN: The request runs there, or the record may have been lost.
    """

    NONE = "none"
    HELD = "held"
    UNKNOWN = "unknown"


def read_key(
    request: messages.Request, entry: indexes.RouteEntry, organisation: str
) -> str | messages.CallResponse:
    """Returns the scope of the request's key, or the refusal of the key.

    The scope is empty without a key, and on routes whose requests may run
    twice.
    """
    key = request.header(fields.IDEMPOTENCY_KEY)
    if key is None or not entry.route.at_most_once:
        return ""
    if not 0 < len(key) <= _MAX_KEY_LENGTH or not key.isprintable():
        return messages.refusal(
            outcomes.Reason.BAD_REQUEST,
            400,
            f"Idempotency-Key must have 1 to {_MAX_KEY_LENGTH} characters",
        )
    if not organisation:
        return messages.refusal(
            outcomes.Reason.BAD_REQUEST,
            400,
            "Idempotency-Key is for requests with an organisation's key",
        )
    route = entry.route
    return homes.scope_of(organisation, f"{route.method} {route.pattern}", key)


async def serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    """Serves a call at the home node of its key, within its deadline."""
    return await deadlines.serve_within_deadline(
        runtime, call, functools.partial(_serve, runtime, request, call)
    )


async def _serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    scope = call.idempotency_scope
    if runtime.homes.home_of(request.service, scope) != runtime.table.own_id:
        return home_unavailable("the nodes disagree about the key's home")
    fingerprint = homes.fingerprint(request.method, request.path, request.body)
    table = runtime.idempotency
    while True:
        decision = table.begin(scope, fingerprint, _now(runtime))
        match decision:
            case records.KeyDecision.RUN:
                return await _run(runtime, request, call)
            case records.KeyDecision.WAIT:
                # The first request is running, so a deadline means unknown.
                call.progress.may_have_run = True
                await runtime.running_keys[scope].wait()
                call.progress.may_have_run = False
            case records.KeyDecision.STORED:
                return _stored(table.lookup(scope, _now(runtime)))
            case records.KeyDecision.MISMATCH:
                return mismatch()
            case records.KeyDecision.FULL:
                return messages.refusal(
                    outcomes.Reason.MEMORY,
                    503,
                    "the table of idempotency keys is full",
                    retry_after_ms=messages.RETRY_AFTER_MS,
                )


async def _run(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    """Runs the first request of a key, even if its caller disconnects.

    A caller that has lost its connection repeats the request with the same
    key and gets the stored response. The deadline still ends the call.
    """
    scope = call.idempotency_scope
    runtime.running_keys[scope] = trio.Event()
    response: messages.CallResponse | None = None
    try:
        with trio.CancelScope(shield=True):
            response = await deadlines.serve_within_deadline(
                runtime,
                call,
                functools.partial(_claim_and_run, runtime, request, call),
            )
    finally:
        _end(runtime, call, response)
        runtime.running_keys.pop(scope).set()
    assert response is not None
    return response


def _end(
    runtime: runtimes.Runtime,
    call: contexts.ActiveCall,
    response: messages.CallResponse | None,
) -> None:
    """Stores the response of a call, or drops the record if it did not run."""
    scope = call.idempotency_scope
    if response is None and call.progress.may_have_run:
        response = messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, "the first request failed"
        )
    if (
        response is None
        or response.outcome is outcomes.Outcome.NOT_RUN
        or response.reason is outcomes.Reason.HOME_UNAVAILABLE
    ):
        runtime.idempotency.abandon(scope)
        return
    if runtime.idempotency.is_running(scope):
        stored = dataclasses.replace(response, levels=(), load=0.0)
        runtime.idempotency.finish(scope, stored, _now(runtime))


async def _claim_and_run(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse:
    now = _now(runtime)
    scope = call.idempotency_scope
    if runtime.homes.may_have_lost_records(now):
        return home_unavailable("the key's home has lost earlier records")
    for earlier in runtime.homes.earlier_homes(request.service, scope, now):
        record = await _claim(runtime, earlier, request.service, scope)
        if record is None:
            return home_unavailable("an earlier home of the key is gone")
        if record.answer is None:
            continue
        runtime.idempotency.abandon(scope)
        runtime.idempotency.adopt(scope, record, _now(runtime))
        fingerprint = homes.fingerprint(
            request.method, request.path, request.body
        )
        if record.fingerprint != fingerprint:
            return mismatch()
        return _stored(record)
    return await local.serve(runtime, request, call)


async def _claim(
    runtime: runtimes.Runtime, node_id: str, service: str, scope: str
) -> records.Record | None:
    """Requests a record from an earlier home.

    Returns:
      The record, one without a response if the home has none, or None if
      the home's state is unknown.
    """
    claim = models.RecordClaim(
        epoch=runtime.homes.epoch, service=service, scope=scope
    )
    reply = None
    with trio.move_on_after(_CLAIM_TIMEOUT_S):
        try:
            reply = await runtime.peer_pools.exchange(
                node_id, claim, models.RecordHandover
            )
        except errors.SassafrasError:
            return None
    if reply is None or reply.scope != scope:
        return None
    if reply.holding == RecordState.NONE:
        return records.Record(b"")
    if reply.holding != RecordState.HELD or reply.answer is None:
        return None
    try:
        response = converters.message_to_response(reply.answer)
    except ValueError:
        return None
    return records.Record(reply.fingerprint, response, reply.kept)


def handle_claim(
    runtime: runtimes.Runtime, claim: models.RecordClaim
) -> models.RecordHandover:
    """Responds to a claim by the new home of a key.

    A node that has not seen the claimant's epoch may still run the key for
    others that have not, so it must not report that it has no record. Neither
    must a node that would have to claim the record from a still earlier home,
    or one that is stopping and has deposited its records.
    """
    now = _now(runtime)
    holding = RecordState.UNKNOWN
    record = runtime.idempotency.lookup(claim.scope, now)
    if record is not None and record.answer is not None:
        runtime.idempotency.release(claim.scope)
        return models.RecordHandover(
            scope=claim.scope,
            holding=RecordState.HELD,
            fingerprint=record.fingerprint,
            kept=record.kept,
            answer=converters.response_to_message(0, record.answer),
        )
    if (
        record is None
        and not runtime.drain.is_draining
        and runtime.homes.epoch >= claim.epoch
        and not runtime.homes.may_have_lost_records(now)
        and not runtime.homes.earlier_homes(claim.service, claim.scope, now)
    ):
        holding = RecordState.NONE
    return models.RecordHandover(scope=claim.scope, holding=holding)


def home_unavailable(detail: str) -> messages.CallResponse:
    """Returns the response when an earlier request may have run elsewhere."""
    return messages.unknown(outcomes.Reason.HOME_UNAVAILABLE, 503, detail)


def mismatch() -> messages.CallResponse:
    """Returns the response to a key that belongs to another request."""
    return messages.refusal(
        outcomes.Reason.DUPLICATE,
        422,
        "the idempotency key was used for a request with other contents",
    )


def _stored(record: records.Record | None) -> messages.CallResponse:
    assert record is not None
    assert record.answer is not None
    if record.kept:
        return record.answer
    return dataclasses.replace(
        record.answer,
        reason=outcomes.Reason.DUPLICATE,
        status=410,
        headers=(("content-type", "text/plain; charset=utf-8"),),
        body=b"ran: the answer had no room and was not kept\n",
    )


def _now(runtime: runtimes.Runtime) -> float:
    return runtime.clock.now_with_suspend()
