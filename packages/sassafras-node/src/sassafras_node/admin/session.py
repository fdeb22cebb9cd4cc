"""The life of one connection from an operator."""

import json
from typing import Any
import urllib.parse

import pydantic
import result
import trio

from sassafras_base import events
from sassafras_node import http_session
from sassafras_node import runtime as runtimes
from sassafras_node.admin import access
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_policy.calls import messages
from sassafras_wire.administration import models
from sassafras_wire.http import server as http_server
from sassafras_wire.settings import operators


@events.declare(601, "WARNING")
def operator_refused(peer: str, path: str, problem: str) -> str:
    """A request to the administration API had no sufficient credential.

    Repeated refusals from one address mean a stranger or an old credential.
    """
    return f"operator at {peer} refused on {path}: {problem}"


async def serve(
    runtime: runtimes.Runtime,
    known: operators.Operators,
    stream: trio.SocketStream,
    peer: str,
) -> None:
    """Serves requests until the operator disconnects."""

    async def handle(request: messages.Request) -> messages.Answer:
        return replies.encode(await _answer(runtime, known, request, peer))

    await http_session.serve(runtime, stream, peer, handle, _refusal_as_json)


def _refusal_as_json(
    error: http_server.RequestRefusedError,
) -> messages.Answer:
    return replies.encode(
        replies.refuse(
            error.status, error.step, error.peer, error.problem, error.advice
        )
    )


async def _answer(
    runtime: runtimes.Runtime,
    known: operators.Operators,
    request: messages.Request,
    peer: str,
) -> replies.Reply:
    found = routing.find(request.method, request.path_without_query)
    if isinstance(found, result.Err):
        return found
    route = found.ok_value
    operator = ""
    if route.role is not None:
        access_given = access.authenticate(known, request, route.role, peer)
        if isinstance(access_given, result.Err):
            problem = access_given.err_value.problem.problem
            operator_refused(peer, route.path, problem)
            return access_given
        operator = access_given.ok_value
    checked = _check_input(route, request, peer)
    if isinstance(checked, result.Err):
        return checked
    call = routing.Call(runtime, operator, route.step, checked.ok_value)
    return await route.handle(call)


def _check_input(
    route: routing.Route, request: messages.Request, peer: str
) -> result.Result[models.Request, replies.Refusal]:
    try:
        content = _read_input(request)
    except ValueError as error:
        fault = models.FaultModel(section="body", allowed=f"JSON: {error}")
        return replies.invalid(route.step, peer, (fault,))
    try:
        return result.Ok(route.input.model_validate(content))
    except pydantic.ValidationError as error:
        faults = tuple(_to_fault(fault) for fault in error.errors())
        return replies.invalid(route.step, peer, faults)


def _read_input(request: messages.Request) -> object:
    if request.method == "GET":
        query = urllib.parse.urlsplit(request.path).query
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return json.loads(request.body) if request.body else {}


def _to_fault(fault: Any) -> models.FaultModel:
    given = fault["input"]
    return models.FaultModel(
        section="request",
        key=".".join(str(part) for part in fault["loc"]),
        given=str(given) if isinstance(given, str | int | float) else "",
        allowed=fault["msg"],
    )
