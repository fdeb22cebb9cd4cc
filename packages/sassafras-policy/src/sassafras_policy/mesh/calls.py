"""Data classes of a call on its way through one or two nodes."""

import dataclasses

from sassafras_policy.calls import messages
from sassafras_policy.mesh import configuration


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
      route_name: Name of the route; the second node knows no more of it.
      route: The route; None at the second node, which does not need it.
    """

    request: messages.Request
    request_id: str
    caller_service: str
    organisation: str
    service: str
    context: messages.CallContext
    is_idempotent: bool
    route_name: str = ""
    route: configuration.Route | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What an answer of a target says besides status and body.

    Attributes:
      ran: Whether the target worked on the request.
      is_whole: Whether status, signature and body are the target's own.
    """

    ran: bool
    is_whole: bool
