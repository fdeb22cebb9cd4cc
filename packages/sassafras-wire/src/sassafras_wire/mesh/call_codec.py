"""Encoding of a call between two nodes, as HTTP/1.1 with two own fields."""

import dataclasses

import pydantic

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import calls
from sassafras_wire.http import client
from sassafras_wire.http import fields

CALL = "sassafras-call"
LOAD = "sassafras-load"
LEVEL = "sassafras-level"
SUB_CALL_FAILED = "sassafras-sub-call-failed"
_STEP = "peer.call"
_NOT_FORWARDED: frozenset[str] = frozenset()


class _CallField(pydantic.BaseModel):
    """What the first node decided; travels as JSON in one field."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    request_id: str = ""
    caller_service: str = ""
    organisation: str = ""
    service: str
    target_id: str = ""
    deadline_ms: int
    priority: int = pydantic.Field(ge=0)
    bucket: int = pydantic.Field(ge=0, lt=messages.BUCKET_COUNT)
    depth: int = pydantic.Field(ge=0)
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call as the second node gets it.

    Attributes:
      call: The call.
      target_id: The target that the first node chose.
    """

    call: calls.Call
    target_id: str


def encode_call(
    call: calls.Call, target_id: str, host: str, remaining_s: float
) -> messages.Request:
    """Returns the request that carries a call to the node of its target.

    Args:
      call: The call.
      target_id: The chosen target.
      host: The `Host` field of the caller's request.
      remaining_s: Time left until the deadline of the call.
    """
    field = _CallField(
        request_id=call.request_id,
        caller_service=call.caller_service,
        organisation=call.organisation,
        service=call.service,
        target_id=target_id,
        deadline_ms=max(0, int(remaining_s * 1000)),
        priority=call.context.priority,
        bucket=call.context.bucket,
        depth=call.context.depth,
        is_idempotent=call.is_idempotent,
    )
    headers = (
        ("host", host),
        *fields.end_to_end(call.request.headers, _NOT_FORWARDED),
        (CALL, field.model_dump_json()),
    )
    return dataclasses.replace(call.request, headers=headers)


def decode_call(
    request: messages.Request, peer: str, now: float
) -> ReceivedCall:
    """Returns the call in a request of another node.

    Raises:
      ProtocolError: The field with the call is missing or not valid.
    """
    value = request.header(CALL)
    if value is None:
        raise errors.ProtocolError(_STEP, peer, f"no {CALL} field")
    try:
        field = _CallField.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise errors.ProtocolError(
            _STEP, peer, f"invalid {CALL} field: {error.error_count()} faults"
        ) from None
    call = calls.Call(
        request=request,
        request_id=field.request_id,
        caller_service=field.caller_service,
        organisation=field.organisation,
        service=field.service,
        context=messages.CallContext(
            root_id=field.request_id,
            organisation=field.organisation,
            priority=field.priority,
            bucket=field.bucket,
            deadline=now + field.deadline_ms / 1000,
            depth=field.depth,
            at_most_once=not field.is_idempotent,
        ),
        is_idempotent=field.is_idempotent,
    )
    return ReceivedCall(call, field.target_id)


def answer_form(answer: messages.Answer) -> list[tuple[str, str]]:
    """Returns the header fields of an answer to another node."""
    headers = [
        *answer.headers,
        (fields.OUTCOME, fields.outcome_value(answer)),
        (LOAD, f"{answer.load:.3f}"),
        *((LEVEL, str(level)) for _, level in answer.levels),
    ]
    if answer.sub_call_failed:
        headers.append((SUB_CALL_FAILED, "1"))
    return headers


def decode_answer(
    response: client.Response, peer: str, service: str
) -> messages.Answer:
    """Returns the answer in a response of another node.

    Args:
      response: The response.
      peer: The node.
      service: The service that was called.

    Raises:
      ProtocolError: The response does not say how the call ended.
    """
    outcome = reason = ""
    load = 0.0
    levels: tuple[tuple[str, int], ...] = ()
    sub_call_failed = False
    headers = []
    for name, value in response.headers:
        if name == fields.OUTCOME:
            outcome, _, rest = value.partition(";")
            reason = rest.partition("=")[2]
        elif name == LOAD:
            load = float(value)
        elif name == LEVEL and value.isdigit():
            levels = ((service, int(value)),)
        elif name == SUB_CALL_FAILED:
            sub_call_failed = True
        else:
            headers.append((name, value))
    try:
        return messages.Answer(
            outcome=outcomes.Outcome(outcome),
            reason=outcomes.Reason(reason),
            status=response.status,
            headers=fields.end_to_end(tuple(headers), _NOT_FORWARDED),
            body=response.body,
            load=load,
            levels=levels,
            sub_call_failed=sub_call_failed,
        )
    except ValueError:
        raise errors.ProtocolError(
            _STEP, peer, f"the outcome {outcome!r} {reason!r} is not known"
        ) from None
