"""Data classes of a call on its way through one or two nodes."""

import dataclasses

from sassafras_policy.calls import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request with everything that was decided at its first node.

    Attributes:
      request: The request as it came in.
      request_id: Id that the caller gave it; empty without one.
      caller_service: Service on the host where the request began.
      organisation: Organisation of the key; empty on open routes.
      service: The service that is to run it.
      context: Rank and deadline.
      is_idempotent: Whether it may run more than once.
      route: Name of the route.
      most_targets: Targets that it may be sent to; its first node decides.
    """

    request: messages.Request
    request_id: str
    caller_service: str
    organisation: str
    service: str
    context: messages.CallContext
    is_idempotent: bool
    route: str = ""
    most_targets: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What an answer of a target says besides status and body.

    Attributes:
      ran: Whether the target worked on the request.
      is_whole: Whether status, signature and body are the target's own.
    """

    ran: bool
    is_whole: bool
