"""Data classes of the configuration document."""

import dataclasses

DEFAULT_RETRY_LIMIT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A caller's key, stored as its digest only.

    Attributes:
      label: The operators' name for the key, unique in its organisation.
      digest: SHA-256 of the key in hexadecimal.
    """

    label: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its rate limit and keys.

    Attributes:
      name: Unique name.
      rate_per_s: Root requests a second over all hosts together.
      burst: Root requests allowed above the rate at any moment.
      keys: The active keys.
    """

    name: str
    rate_per_s: float
    burst: float
    keys: tuple[Key, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A kind of request to a service.

    Attributes:
      service: The service, which is also the first path segment.
      method: HTTP method, or `*`.
      pattern: Path pattern; `*` matches one segment, a final `**` the rest.
      call_class: Name of the class that orders refusals.
      at_most_once: Whether a request must never run twice.
      is_open: Whether a request without a key may use the route.
      deadline_ms: Maximum time until the response, in milliseconds.
    """

    service: str
    method: str
    pattern: str
    call_class: str
    at_most_once: bool = False
    is_open: bool = False
    deadline_ms: int = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the services that it calls."""

    name: str
    calls: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective.

    Attributes:
      service: The service it covers.
      organisation: The organisation it covers, or `*` for each.
      success_ratio: Fraction of requests that must succeed, such as 0.999.
      latency_ms: A slower success counts as a failure; 0 for no limit.
    """

    service: str
    organisation: str
    success_ratio: float
    latency_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A complete revision of the configuration.

    Attributes:
      revision: Rises by one with each accepted change.
      write_id: Random id by which the writer recognises its own write.
      author: The operator who made the change.
      note: The operator's comment on the change.
      classes: Names of the classes, the most important first.
      services: The services.
      routes: The routes; the first match in document order applies.
      organisations: The organisations.
      objectives: The service-level objectives.
      stopped_targets: Addresses of targets that operators have stopped.
      retry_limit: Retries allowed for one root request.
    """

    revision: int
    write_id: str = ""
    author: str = ""
    note: str = ""
    classes: tuple[str, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    objectives: tuple[Objective, ...] = ()
    stopped_targets: tuple[str, ...] = ()
    retry_limit: int = DEFAULT_RETRY_LIMIT
