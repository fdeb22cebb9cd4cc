"""Builds requests from arguments and validates them before sending."""

from typing import TypeVar

import pydantic
import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_wire.administration import models

A = TypeVar("A", bound=models.Answer)
R = TypeVar("R", bound=models.Request)


def build(
    model: type[R], **content: object
) -> result.Result[R, clients.Failure]:
    """Returns a request, or all faults of the arguments."""
    try:
        return result.Ok(model.model_validate(content))
    except pydantic.ValidationError as error:
        faults = tuple(
            models.FaultModel(
                section="arguments",
                key=".".join(str(part) for part in fault["loc"]),
                given=str(fault["input"]),
                allowed=fault["msg"],
            )
            for fault in error.errors()
        )
        return result.Err(usage_failure("the arguments are not valid", faults))


async def change(
    invocation: registry.Invocation,
    path: str,
    model: type[R],
    response_model: type[A],
    **content: object,
) -> result.Result[A, clients.Failure]:
    """Builds and sends a change with the operator's note."""
    request = build(model, note=invocation.options.note, **content)
    if isinstance(request, result.Err):
        return request
    return await invocation.node.change(path, request.ok_value, response_model)


def usage_failure(
    problem: str, faults: tuple[models.FaultModel, ...] = ()
) -> clients.Failure:
    """Returns the failure of a command with a usage error."""
    return clients.Failure(
        exit_codes.ExitCode.USAGE,
        models.Problem(
            step="cli.usage",
            peer="local",
            problem=problem,
            advice="nothing was sent",
            faults=faults,
        ),
    )
