"""Messages of a call between two nodes, and their conversions."""

import dataclasses
import math
from typing import Literal

import cbor2
import pydantic

from sassafras_base import errors
from sassafras_policy.balancing import load_reports
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import reports
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages
from sassafras_wire.mesh import plain_calls
from sassafras_wire.peer import codec
from sassafras_wire.peer import models

# Bounds on reports. Beyond the pressure and the wait, decisions would be the
# same; the others are far above what a request of any deployment needs.
_MAX_REPORTS = 32
_MAX_CALLS = 10_000
_MAX_SLOT_S = 600.0
_MAX_PRESSURE = 4.0
_MAX_DEMAND = 16.0
_MAX_WAIT_S = 5.0


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
      part: Thousandths of such root requests that its first node admits.
      is_idempotent: Whether it may run more than once.
      method: HTTP method.
      path: Path and query.
      headers: Forwarded header fields, names in lower case.
      body: Complete body.
      usual_us: Time that a call of the route usually takes at a target, in
        microseconds; 0 if the sending node does not know.
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
    part: int = pydantic.Field(default=1000, ge=0, le=1000)
    is_idempotent: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    usual_us: int = pydantic.Field(default=0, ge=0)


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
      cold_s: For how long other targets should be preferred.
      level: Admission level of the target and of its downstream services; None
        if the call did not reach admission control.
      sub_call_failed: Whether a sub-call of the target failed.
      is_last: Whether the node accepts no more calls on this connection.
      entry: The node's entry, where it does not have the target that the
        sending node selected.
      limit: Calls that may run at the target at once; 0 if the node does not
        report them.
      service_us: Time at the target of a call of the same route, in
        microseconds; 0 until measured.
      reports: For each service that the call reached: its name, the calls, the
        slot time in ms, pressure and demand in thousandths, and the wait and
        the age of the last three in ms. Empty at nodes that report no room.
    """

    type: Literal["mesh_answer"] = "mesh_answer"
    outcome: outcomes.Outcome
    reason: outcomes.Reason = outcomes.Reason.NONE
    status: int = pydantic.Field(ge=100, le=599)
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    load: float = 0.0
    cold_s: float = pydantic.Field(default=0.0, ge=0)
    level: int | None = None
    sub_call_failed: bool = False
    is_last: bool = False
    entry: link_messages.NodeEntryModel | None = None
    limit: int = pydantic.Field(default=0, ge=0)
    service_us: int = pydantic.Field(default=0, ge=0)
    reports: plain_calls.Reports = ()


@dataclasses.dataclass(slots=True)
class ReceivedCall:
    """A call as decoded by the receiving node.

    Attributes:
      call: The call.
      target_id: Target that the sending node selected.
    """

    call: calls.Call
    target_id: str


def encode_call(
    call: calls.Call, target_id: str, remaining_s: float, usual_s: float = 0.0
) -> bytes:
    """Returns a `CallMessage` as bytes.

    The fields are taken from the call itself; a model in between would be
    validated without need.

    Args:
      call: The call.
      target_id: The selected target.
      remaining_s: Time left until the deadline of the call.
      usual_s: Usual time of such a call at a target; 0 if it is not known.
    """
    request = call.request
    context = call.context
    content: dict[str, object] = {
        "type": "mesh_call",
        "request_id": call.request_id,
        "caller_service": call.caller_service,
        "service": call.service,
        "route": call.route,
        "target_id": target_id,
        "remaining_ms": max(0, int(remaining_s * 1000)),
        "priority": context.priority,
        "bucket": context.bucket,
        "depth": context.depth,
        "is_idempotent": call.is_idempotent,
        "method": request.method,
        "path": request.path,
        "headers": request.headers,
    }
    if call.organisation:
        content["organisation"] = call.organisation
    if context.part < 1.0:
        content["part"] = int(context.part * 1000)
    if request.body:
        content["body"] = request.body
    if usual_s:
        content["usual_us"] = int(usual_s * 1e6)
    return cbor2.dumps(content)


Call = CallMessage | plain_calls.Call
Answer = AnswerMessage | plain_calls.Answer


def decode_call(content: bytes, peer: str) -> Call:
    """Returns the call in a frame.

    Raises:
      ProtocolError: The frame is no valid call.
    """
    call = plain_calls.decode_call(content)
    if call is not None:
        return call
    message = codec.decode(content, peer)
    if not isinstance(message, CallMessage):
        raise errors.ProtocolError(
            "peer.call", peer, f"{message.type!r} is not a call"
        )
    return message


def decode_answer(content: bytes, peer: str) -> Answer:
    """Returns the answer in a frame.

    Raises:
      ProtocolError: The frame is no valid answer.
    """
    answer = plain_calls.decode_answer(content)
    if answer is not None:
        return answer
    message = codec.decode(content, peer)
    if not isinstance(message, AnswerMessage):
        raise errors.ProtocolError(
            "peer.call", peer, f"a {message.type!r} is no answer"
        )
    return message


def to_call(
    message: Call, now: float, latest_deadline: float = math.inf
) -> ReceivedCall:
    """Returns the call in a message.

    Args:
      message: The message.
      now: Time of receipt in seconds on this node's clock.
      latest_deadline: When the call ends at the latest, on that clock.
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
            deadline=min(now + message.remaining_ms / 1000, latest_deadline),
            depth=message.depth,
            at_most_once=not message.is_idempotent,
            part=message.part / 1000,
        ),
        is_idempotent=message.is_idempotent,
        route=message.route,
        usual_s=message.usual_us / 1e6,
    )
    return ReceivedCall(call, message.target_id)


def encode_answer(
    response: messages.CallResponse,
    is_last: bool,
    entry: targets.NodeEntry | None = None,
) -> bytes:
    """Returns an `AnswerMessage` as bytes.

    Args:
      response: The response.
      is_last: Whether the node accepts no more calls on the connection.
      entry: The node's entry, if the other node has an outdated one.
    """
    content: dict[str, object] = {
        "type": "mesh_answer",
        "outcome": response.outcome.value,
        "status": response.status,
        "headers": response.headers,
        "load": response.load,
    }
    if response.reason:
        content["reason"] = response.reason.value
    if response.body:
        content["body"] = response.body
    if response.levels:
        content["level"] = response.levels[0][1]
    if response.cold_s:
        content["cold_s"] = response.cold_s
    if response.sub_call_failed:
        content["sub_call_failed"] = True
    if response.reports:
        content["reports"] = [
            (
                report.service,
                report.calls,
                int(report.slot_s * 1000),
                int(report.room.pressure * 1000),
                int(report.room.demand * 1000),
                int(report.room.wait_s * 1000),
                int(report.age_s * 1000),
            )
            for report in response.reports
        ]
    if is_last:
        content["is_last"] = True
    if response.report is not None:
        content["limit"] = response.report.limit
        content["service_us"] = int(response.report.service_s * 1e6)
    if entry is not None:
        content["entry"] = link_messages.to_model(entry).model_dump(mode="json")
    return cbor2.dumps(content)


def to_response(message: Answer, service: str) -> messages.CallResponse:
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
        cold_s=message.cold_s,
        levels=() if level is None else ((service, level),),
        sub_call_failed=message.sub_call_failed,
        report=load_reports.TargetReport(
            message.limit, message.service_us / 1e6
        )
        if message.limit
        else None,
        reports=_to_reports(message) if message.reports else (),
    )


def _to_reports(message: Answer) -> tuple[reports.ServiceReport, ...]:
    """Returns the plausible reports of a response, bounded in size and value.

    A node that reports nonsense must not close a service for all others.
    """
    return tuple(
        reports.ServiceReport(
            service,
            min(calls_made, _MAX_CALLS),
            min(slot_ms / 1000, _MAX_SLOT_S),
            reports.Room(
                min(pressure / 1000, _MAX_PRESSURE),
                min(wait_ms / 1000, _MAX_WAIT_S),
                min(demand / 1000, _MAX_DEMAND),
            ),
            age_ms / 1000,
        )
        for (
            service,
            calls_made,
            slot_ms,
            pressure,
            demand,
            wait_ms,
            age_ms,
        ) in message.reports[:_MAX_REPORTS]
        if calls_made > 0
        and min(slot_ms, pressure, demand, wait_ms, age_ms) >= 0
    )
