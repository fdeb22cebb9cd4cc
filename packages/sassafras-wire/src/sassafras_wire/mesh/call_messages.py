"""Messages of a call between two nodes, and their conversions."""

import dataclasses
from typing import Literal

import pydantic

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import calls
from sassafras_wire.peer import models


@models.message_types.register("mesh_call")
class CallMessage(models.Message):
    """A call for the receiving node's local target.

    Attributes:
      request_id: Id given by the caller; empty without one.
      caller_service: Service on the host where the request began.
      organisation: Organisation of the key; empty on open routes.
      service: Service that is called.
      route: Name of the route.
      target_id: Target that the sending node selected.
      remaining_ms: Time left until its deadline.
      priority: Rank of its class; 0 is the most important.
      bucket: Admission bucket within its class.
      depth: Number of upstream calls; 0 for a root request.
      is_idempotent: Whether it may run more than once.
      method: HTTP method.
      path: Path and query.
      headers: Forwarded header fields, names in lower case.
      body: Complete body.
    """

    type: Literal["mesh_call"] = "mesh_call"
    request_id: str = ""
    caller_service: str = ""
    organisation: str = ""
    service: str
    route: str = ""
    target_id: str = ""
    remaining_ms: int
    priority: int = pydantic.Field(ge=0)
    bucket: int = pydantic.Field(ge=0, lt=messages.BUCKET_COUNT)
    depth: int = pydantic.Field(ge=0)
    is_idempotent: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@models.message_types.register("mesh_answer")
class AnswerMessage(models.Message):
    """The response to a call.

    Attributes:
      outcome: Whether the call ran.
      reason: Why it was refused or its outcome is unknown.
      status: HTTP status code.
      headers: Header fields for the caller.
      body: Complete body.
      load: Load of the target; 1.0 when its concurrency limit is in use.
      level: Admission level of the target and of its downstream services; None
        if the call did not reach admission control.
      sub_call_failed: Whether a sub-call of the target failed.
      is_last: Whether the node accepts no more calls on this connection.
    """

    type: Literal["mesh_answer"] = "mesh_answer"
    outcome: outcomes.Outcome
    reason: outcomes.Reason = outcomes.Reason.NONE
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    load: float = 0.0
    level: int | None = None
    sub_call_failed: bool = False
    is_last: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call as decoded by the receiving node.

    Attributes:
      call: The call.
      target_id: Target that the sending node selected.
    """

    call: calls.Call
    target_id: str


def to_message(
    call: calls.Call, target_id: str, remaining_s: float
) -> CallMessage:
    """Returns the message for a call.

    Args:
      call: The call.
      target_id: The selected target.
      remaining_s: Time left until the deadline of the call.
    """
    return CallMessage(
        request_id=call.request_id,
        caller_service=call.caller_service,
        organisation=call.organisation,
        service=call.service,
        route=call.route,
        target_id=target_id,
        remaining_ms=max(0, int(remaining_s * 1000)),
        priority=call.context.priority,
        bucket=call.context.bucket,
        depth=call.context.depth,
        is_idempotent=call.is_idempotent,
        method=call.request.method,
        path=call.request.path,
        headers=call.request.headers,
        body=call.request.body,
    )


def to_call(message: CallMessage, now: float) -> ReceivedCall:
    """Returns the call in a message.

    Args:
      message: The message.
      now: Time of receipt in seconds on this node's clock.
    """
    call = calls.Call(
        request=messages.Request(
            message.method, message.path, message.headers, message.body
        ),
        request_id=message.request_id,
        caller_service=message.caller_service,
        organisation=message.organisation,
        service=message.service,
        context=messages.CallContext(
            root_id=message.request_id,
            organisation=message.organisation,
            priority=message.priority,
            bucket=message.bucket,
            deadline=now + message.remaining_ms / 1000,
            depth=message.depth,
            at_most_once=not message.is_idempotent,
        ),
        is_idempotent=message.is_idempotent,
        route=message.route,
    )
    return ReceivedCall(call, message.target_id)


def to_answer_message(
    response: messages.CallResponse, is_last: bool
) -> AnswerMessage:
    """Returns the message for a response."""
    return AnswerMessage(
        outcome=response.outcome,
        reason=response.reason,
        status=response.status,
        headers=response.headers,
        body=response.body,
        load=response.load,
        level=response.levels[0][1] if response.levels else None,
        sub_call_failed=response.sub_call_failed,
        is_last=is_last,
    )


def to_response(message: AnswerMessage, service: str) -> messages.CallResponse:
    """Returns the response in a message.

    Args:
      message: The message.
      service: The service that was called.
    """
    level = message.level
    return messages.CallResponse(
        outcome=message.outcome,
        reason=message.reason,
        status=message.status,
        headers=message.headers,
        body=message.body,
        load=message.load,
        levels=() if level is None else ((service, level),),
        sub_call_failed=message.sub_call_failed,
    )
