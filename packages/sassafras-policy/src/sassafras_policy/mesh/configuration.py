"""Data classes of a configuration with routes by host and path prefix."""

import dataclasses

from sassafras_policy.configuration import document


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of a route's requests that one service gets.

    Attributes:
      service: The service.
      weight: Size of the share, relative to the weights of the others.
    """

    service: str
    weight: float

    def __str__(self) -> str:
        return f"{self.service} x {self.weight:g}"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host name below one path prefix.

    Attributes:
      name: Unique name.
      host: Value of the `Host` field that selects the route.
      prefix: Path prefix; begins and ends with a slash.
      is_idempotent: Whether a request may run more than once.
      timeout_s: Maximum time until a caller gets a response; 0 for no bound.
      target_latency_s: Time within which a response is worth most to its
        caller; 0 if the operator states none.
      priority: Rank of the route; 0 is the most important.
      shares: The services that serve the route.
      max_targets: Maximum number of targets that a request may be sent to.
      is_open: Whether a request needs no key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    priority: int
    shares: tuple[Share, ...]
    max_targets: int
    is_open: bool
    target_latency_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What the operator states about the targets of one service.

    Attributes:
      name: Unique name.
      max_connections: Connections that one target accepts; 0 if not stated.
      cold_start_s: Time for which a target is cold after its start.
      cold_rate_per_s: Calls a second that a cold target bears; 0 for no bound.
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation, its rate and the rank of its requests.

    Attributes:
      account: Name, rate, burst and keys.
      priority: Overrides the priority of routes; None if unset.
    """

    account: document.Organisation
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on the requests and connections of callers.

    Attributes:
      header_bytes: Maximum size of a header block.
      body_bytes: Maximum size of a body.
      header_timeout_s: Maximum time for a header block to arrive.
      idle_timeout_s: Maximum time that a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration.

    Attributes:
      version: Increases with each accepted change, in uneven steps.
      routes: The routes.
      organisations: The organisations; empty if no route needs a key.
      limits: Bounds on requests and connections of callers.
      services: What is stated about services; routes may name others.
    """

    version: int
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
    services: tuple[Service, ...] = ()
