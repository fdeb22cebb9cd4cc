"""The command that explains a request from log files."""

import pathlib

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli.commands import requests
from sassafras_cli.logs import causes
from sassafras_cli.logs import lines
from sassafras_wire.administration import models

_REQUEST_ENDED = 820
# Dependencies lost and restored, and starts and stops of nodes.
_DEPENDENCY_EVENTS = frozenset([801, 802, 803, 832, 833, 842, 843])
# A dependency lost up to this long before the request may be the cause.
_LOOKBACK_S = 10.0
_LOOKAHEAD_S = 1.0


class Step(models.Answer):
    """A log line that concerns the request."""

    at_ms: int
    node: str
    event: int
    name: str
    fields: dict[str, str]


class Explanation(models.Answer):
    """The log lines of a request and the cause of its result.

    `at_ms` of a step counts from the first line with the request's id. Lines of
    hosts whose clocks differ are shifted against each other.
    """

    request_id: str
    cause: str
    steps: list[Step]
    around: list[Step]


@registry.command(
    "explain",
    "REQUEST_ID LOGS",
    example="sassafras explain 9c41d07be2a35f68 /var/log/sassafras",
    uses_node=False,
)
async def explain(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Shows what became of a request, from log files; needs no node."""
    request_id, path = invocation.arguments
    made = _find_explanation(request_id, pathlib.Path(path))
    if isinstance(made, result.Err):
        return invocation.fail(made.err_value)
    response = made.ok_value
    text = [f"request {response.request_id}: {response.cause}", ""]
    text += [_format_step(step) for step in response.steps]
    if response.around:
        text += ["", "on the same nodes about that time:"]
        text += [_format_step(step) for step in response.around]
    return invocation.show(response, "\n".join(text))


def _find_explanation(
    request_id: str, path: pathlib.Path
) -> result.Result[Explanation, clients.Failure]:
    try:
        found = [
            line
            for file in lines.find_log_files(path)
            for line in lines.read(file)
        ]
    except OSError as error:
        return result.Err(
            requests.usage_failure(f"{path} cannot be read: {error}")
        )
    # The ids of sub-calls begin with the id of their request.
    related = sorted(
        (
            line
            for line in found
            if line.text("request_id").startswith(request_id)
        ),
        key=lambda line: line.time,
    )
    ended = next(
        (
            line
            for line in related
            if line.event == _REQUEST_ENDED
            and line.text("request_id") == request_id
        ),
        None,
    )
    if ended is None:
        return result.Err(
            requests.usage_failure(
                f"no line of {path} tells how request {request_id} ended; lines"
                " may have been left out under load, and the node of another"
                " host may have it"
            )
        )
    events = [line for line in related if line.text("request_id") == request_id]
    first = related[0].time
    nodes = {line.node for line in related} | set(
        ended.text("nodes").split(",")
    )
    around = [
        line
        for line in found
        if line.event in _DEPENDENCY_EVENTS
        and (line.node in nodes or line.text("node_id") in nodes)
        and first - _LOOKBACK_S <= line.time <= related[-1].time + _LOOKAHEAD_S
    ]
    return result.Ok(
        Explanation(
            request_id=request_id,
            cause=causes.explain(ended, events),
            steps=[_step(line, first) for line in related],
            around=[
                _step(line, first)
                for line in sorted(around, key=lambda line: line.time)
            ],
        )
    )


def _step(line: lines.Line, first: float) -> Step:
    return Step(
        at_ms=round((line.time - first) * 1000),
        node=line.node,
        event=line.event,
        name=line.name,
        fields={
            name: str(value)
            for name, value in line.fields.items()
            if name != "level" and value not in ("", None)
        },
    )


def _format_step(step: Step) -> str:
    fields = " ".join(f"{name}={value}" for name, value in step.fields.items())
    return (
        f"{step.at_ms:>7} ms  {step.node}  {step.event} {step.name}  {fields}"
    )
