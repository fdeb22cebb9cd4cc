"""Callers that send random requests and reuse their connections."""

import dataclasses
import random

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins.soak import fleet as fleets
from sassafras_standins.soak import history as histories
from sassafras_wire.http import client

_TIMEOUT_S = 3.0
_PAUSE_S = (0.0, 0.2)
_REUSE_PROBABILITY = 0.9
_BODY_LIMIT = 1024 * 1024
_REQUEST_KINDS = (("GET", "/read/", False), ("POST", "/write/", True))


async def run(
    fleet: fleets.Fleet, host: fleets.Host, name: str, rng: random.Random
) -> None:
    """Sends requests to the node of one machine until cancelled."""
    connection: client.ClientConnection | None = None
    number = 0
    try:
        while True:
            number += 1
            sent, request = _make_request(host, f"{name}-{number}", rng)
            try:
                if connection is None:
                    connection = await client.ClientConnection.connect(
                        host.machine.address("Outbound"),
                        "soak.ask",
                        _BODY_LIMIT,
                        1.0,
                    )
                with trio.fail_after(_TIMEOUT_S):
                    response = await connection.exchange(request)
                fleet.history.sent.append(_with_response(sent, response))
                reuses = (
                    rng.random() < _REUSE_PROBABILITY and connection.is_reusable
                )
            except (errors.SassafrasError, trio.TooSlowError):
                # The node is down, or was killed during the request.
                fleet.history.sent.append(sent)
                reuses = False
            if connection is not None and not reuses:
                await connection.close()
                connection = None
            await trio.sleep(rng.uniform(*_PAUSE_S))
    finally:
        if connection is not None:
            with trio.CancelScope(shield=True):
                await connection.close()


def _make_request(
    host: fleets.Host, request_id: str, rng: random.Random
) -> tuple[histories.SentRequest, messages.Request]:
    organisation = rng.choice(sorted(fleets.KEYS))
    key = rng.choice(fleets.KEYS[organisation])
    method, path, is_unsafe = rng.choice(_REQUEST_KINDS)
    # An endpoint echoes the body, but sends a fixed text if there is none.
    body = f"{request_id}:{rng.random()}".encode()
    sent = histories.SentRequest(
        request_id=request_id,
        service=host.machine.service,
        organisation=organisation,
        key=key,
        is_unsafe=is_unsafe,
        body=body,
        sent_at=trio.current_time(),
    )
    headers = (
        ("host", fleets.HOST),
        ("request-id", request_id),
        ("deadline-ms", str(int(_TIMEOUT_S * 1000))),
        ("authorization", f"Bearer {key}"),
        ("tenant", "forged"),
        ("caller-service", "forged"),
    )
    request = messages.Request(method, path + request_id, headers, body)
    return sent, request


def _with_response(
    sent: histories.SentRequest, response: client.Response
) -> histories.SentRequest:
    fields = dict(response.headers)
    return dataclasses.replace(
        sent,
        status=response.status,
        answered_id=fields.get("request-id", ""),
        answer=response.body,
        is_signed="response-signature" in fields,
    )
