"""Client of a node's administration API."""

import dataclasses
from typing import TypeVar
import urllib.parse

import pydantic
import result
import trio

from sassafras_base import errors
from sassafras_cli import exit_codes
from sassafras_policy.calls import messages
from sassafras_wire.administration import models
from sassafras_wire.http import client as http_client

_BODY_LIMIT = 4 * 1024 * 1024
_CONNECT_TIMEOUT_S = 5.0
_STEP = "cli.request"
_EXIT_CODES = {
    400: exit_codes.ExitCode.USAGE,
    409: exit_codes.ExitCode.CONFLICT,
    504: exit_codes.ExitCode.UNKNOWN,
}

A = TypeVar("A", bound=models.Answer)


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed request, or one whose outcome is unknown."""

    exit_code: exit_codes.ExitCode
    problem: models.Problem


class AdminClient:
    """Sends requests to a node, each on a new connection."""

    def __init__(self, address: str, credential: str, timeout_s: float) -> None:
        self._address = address
        self._credential = credential
        self._timeout_s = timeout_s

    async def get(
        self,
        path: str,
        response_model: type[A],
        query: dict[str, str] | None = None,
    ) -> result.Result[A, Failure]:
        """Sends a GET request."""
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._exchange(
            "GET", path, b"", response_model, is_change=False
        )

    async def post(
        self, path: str, request: models.Request, response_model: type[A]
    ) -> result.Result[A, Failure]:
        """Sends a POST request that changes nothing."""
        body = request.model_dump_json(exclude_none=True).encode()
        return await self._exchange(
            "POST", path, body, response_model, is_change=False
        )

    async def change(
        self, path: str, request: models.Request, response_model: type[A]
    ) -> result.Result[A, Failure]:
        """Sends a change; without a response its outcome is unknown."""
        body = request.model_dump_json(exclude_none=True).encode()
        return await self._exchange(
            "POST", path, body, response_model, is_change=True
        )

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        response_model: type[A],
        *,
        is_change: bool,
    ) -> result.Result[A, Failure]:
        request = messages.Request(
            method=method,
            path=path,
            headers=(
                ("authorization", f"Bearer {self._credential}"),
                ("content-type", "application/json"),
            ),
            body=body,
        )
        try:
            connection = await http_client.ClientConnection.connect(
                self._address, _STEP, _BODY_LIMIT, _CONNECT_TIMEOUT_S
            )
        except errors.UnreachableError as error:
            return result.Err(
                _failure(
                    self._address,
                    error.problem,
                    "nothing was sent; check --node or use another node",
                    exit_codes.ExitCode.FAILED,
                )
            )
        try:
            with trio.fail_after(self._timeout_s):
                response = await connection.exchange(request)
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            trio.TooSlowError,
        ) as error:
            return result.Err(self._no_response(error, is_change))
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()
        return _read(response, response_model, self._address, is_change)

    def _no_response(self, error: Exception, is_change: bool) -> Failure:
        problem = f"no answer: {error}"
        if isinstance(error, trio.TooSlowError):
            problem = f"no answer within {self._timeout_s:g} s"
        return _no_valid_response(self._address, problem, is_change)


def _read(
    response: http_client.Response,
    response_model: type[A],
    address: str,
    is_change: bool,
) -> result.Result[A, Failure]:
    if response.status == 200:
        try:
            if issubclass(response_model, models.RawResponse):
                return result.Ok(
                    response_model(
                        content_type=dict(response.headers)["content-type"],
                        content=response.body.decode(),
                    )
                )
            return result.Ok(response_model.model_validate_json(response.body))
        except pydantic.ValidationError as error:
            return result.Err(
                _no_valid_response(
                    address,
                    f"unreadable answer: {error.error_count()} faults",
                    is_change,
                )
            )
    exit_code = _EXIT_CODES.get(response.status, exit_codes.ExitCode.FAILED)
    try:
        problem = models.Problem.model_validate_json(response.body)
    except pydantic.ValidationError:
        text = response.body[:200].decode("utf-8", "replace").strip()
        return result.Err(
            _failure(
                address,
                f"status {response.status}: {text}",
                "check that --node is the administration address of a node",
                exit_code,
            )
        )
    return result.Err(Failure(exit_code, problem))


def _no_valid_response(address: str, problem: str, is_change: bool) -> Failure:
    if is_change:
        return _failure(
            address,
            f"outcome unknown: {problem}",
            "the change may have been made; look at the audit records and the"
            " history before you repeat it",
            exit_codes.ExitCode.UNKNOWN,
            models.WriteOutcome.UNKNOWN,
        )
    return _failure(
        address,
        problem,
        "try again or use another node",
        exit_codes.ExitCode.FAILED,
    )


def _failure(
    address: str,
    problem: str,
    advice: str,
    exit_code: exit_codes.ExitCode,
    outcome: models.WriteOutcome | None = None,
) -> Failure:
    return Failure(
        exit_code,
        models.Problem(
            step=_STEP,
            peer=address,
            problem=problem,
            advice=advice,
            outcome=outcome,
        ),
    )
