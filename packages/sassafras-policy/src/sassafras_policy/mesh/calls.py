"""Data classes of a call that passes through one or two nodes."""

import dataclasses

from sassafras_policy.balancing import load_reports
from sassafras_policy.calls import messages
from sassafras_policy.calls import reports as service_reports


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what its first node has decided about it.

    Attributes:
      request: The request as received.
      request_id: Id that the caller set; empty if it set none.
      caller_service: Service on the host where the request originated.
      organisation: Organisation of the key; empty on open routes.
      service: The service that must execute it.
      context: Rank and deadline.
      is_idempotent: Whether it may run more than once.
      route: Name of the route.
      max_targets: Maximum number of targets that it may be sent to; its first
        node enforces it.
      stage: How many calls of the same request have succeeded before, as far as
        its first node knows.
      usual_s: Time that a call of the route usually takes at a target, as its
        first node knows; 0 if it does not.
    """

    request: messages.Request
    request_id: str
    caller_service: str
    organisation: str
    service: str
    context: messages.CallContext
    is_idempotent: bool
    route: str = ""
    max_targets: int = 1
    stage: int = 0
    usual_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RunningCall:
    """A call that the local target is running.

    Attributes:
      call: The call.
      sub_calls_done: How many calls it has made that succeeded.
      reports: Calls and room of the services below it; None while no response
        has told any.
    """

    call: Call
    sub_calls_done: int = 0
    reports: service_reports.ReportSum | None = None


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """What a response of a target shows besides status and body.

    Attributes:
      ran: Whether the target executed the request.
      is_intact: Whether status, signature and body are those of the target,
        unaltered.
      load_report: The load that the target states; None if it states none, or
        none that can be read.
    """

    ran: bool
    is_intact: bool
    load_report: load_reports.LoadReport | None = None
