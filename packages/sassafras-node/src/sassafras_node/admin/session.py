"""Serves one connection of an operator."""

import json
from typing import Any
import urllib.parse

import pydantic
import result

from sassafras_base import events
from sassafras_node import http_session
from sassafras_node import runtime as runtimes
from sassafras_node.admin import access
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_policy.calls import messages
from sassafras_wire.administration import models
from sassafras_wire.http import server as http_server
from sassafras_wire.http import sockets
from sassafras_wire.settings import operators


@events.declare(601, "WARNING")
def operator_refused(peer: str, path: str, problem: str) -> str:
    """A request to the administration API was rejected for its credential.

    Repeated refusals from one address point to an unauthorised client or an
    outdated credential.
    """
    return f"operator at {peer} refused on {path}: {problem}"


async def serve(
    runtime: runtimes.Runtime,
    accounts: operators.Operators,
    stream: sockets.SocketStream,
    peer: str,
) -> None:
    """Serves requests until the operator disconnects."""

    async def handle(request: messages.Request) -> messages.CallResponse:
        return replies.encode(await _answer(runtime, accounts, request, peer))

    await http_session.serve(runtime, stream, peer, handle, _refusal_as_json)


def _refusal_as_json(
    error: http_server.RequestRefusedError,
) -> messages.CallResponse:
    return replies.encode(
        replies.refuse(
            error.status, error.step, error.peer, error.problem, error.advice
        )
    )


async def _answer(
    runtime: runtimes.Runtime,
    accounts: operators.Operators,
    request: messages.Request,
    peer: str,
) -> replies.Reply:
    found = routing.find(request.method, request.path_without_query)
    if isinstance(found, result.Err):
        return found
    route = found.ok_value
    operator = ""
    if route.role is not None:
        authenticated = access.authenticate(accounts, request, route.role, peer)
        if isinstance(authenticated, result.Err):
            problem = authenticated.err_value.problem.problem
            operator_refused(peer, route.path, problem)
            return authenticated
        operator = authenticated.ok_value
    validated = _validate_input(route, request, peer)
    if isinstance(validated, result.Err):
        return validated
    operator_request = routing.OperatorRequest(
        runtime, operator, route.step, validated.ok_value
    )
    return await route.handle(operator_request)


def _validate_input(
    route: routing.Route, request: messages.Request, peer: str
) -> result.Result[models.Request, replies.Refusal]:
    try:
        content = _parse_input(request)
    except ValueError as error:
        fault = models.FaultModel(section="body", allowed=f"JSON: {error}")
        return replies.invalid_input(route.step, peer, (fault,))
    try:
        return result.Ok(route.input.model_validate(content))
    except pydantic.ValidationError as error:
        faults = tuple(_to_fault(fault) for fault in error.errors())
        return replies.invalid_input(route.step, peer, faults)


def _parse_input(request: messages.Request) -> object:
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
