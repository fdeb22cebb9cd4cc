"""The registry of the administration routes, keyed by method and path."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import result

from sassafras_base import registry
from sassafras_node import runtime as runtimes
from sassafras_node.admin import replies
from sassafras_wire.administration import models
from sassafras_wire.settings import operators


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """An authorised request of an operator with validated input.

    Attributes:
      runtime: The node.
      operator: Name; empty on routes that need no credential.
      step: Name of the request in errors, such as `admin.keys.grant`.
      input: The validated body or query.
    """

    runtime: runtimes.Runtime
    operator: str
    step: str
    input: models.Request


Handler = Callable[[OperatorRequest], Awaitable[replies.Reply]]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the administration API.

    Attributes:
      method: HTTP method.
      path: Path without query.
      role: Role that the operator needs; None if no credential is needed.
      input: Model of the JSON body, or of the query of a GET.
      handle: Handles the request.
    """

    method: str
    path: str
    role: operators.Role | None
    input: type[models.Request]
    handle: Handler

    @property
    def step(self) -> str:
        """The name of the route in errors and audit records."""
        return "admin" + self.path.replace("/", ".")


routes: registry.Registry[Route] = registry.Registry("administration route")


def route(
    method: str,
    path: str,
    role: operators.Role | None,
    input_model: type[models.Request] = models.EmptyRequest,
) -> Callable[[Handler], Handler]:
    """Registers the decorated function as the handler of a route."""

    def decorate(handler: Handler) -> Handler:
        entry = Route(method, path, role, input_model, handler)
        routes.register(f"{method} {path}")(entry)
        return handler

    return decorate


def find(method: str, path: str) -> result.Result[Route, replies.Refusal]:
    """Returns the route of a request."""
    name = f"{method} {path}"
    if name in routes:
        return result.Ok(routes.get(name))
    methods = sorted(
        entry.method for _, entry in routes.items() if entry.path == path
    )
    if methods:
        return replies.refuse(
            replies.METHOD_NOT_ALLOWED,
            "admin.route",
            "local",
            f"{path} does not take {method}",
            f"use {' or '.join(methods)}",
        )
    return replies.refuse(
        replies.NOT_FOUND,
        "admin.route",
        "local",
        f"there is no route {path}",
        "see docs/operators/administration-api.md for the routes",
    )
