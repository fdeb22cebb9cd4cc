"""The invariants that the soak tests check."""

import dataclasses

import pytest

from sassafras_standins.platform import endpoint
from sassafras_standins.soak import history as histories

SENT = histories.SentRequest(
    request_id="r1",
    service="front",
    organisation="acme",
    key="key-of-acme",
    is_unsafe=True,
    body=b"mine",
    sent_at=10.0,
    status=200,
    answered_id="r1",
    answer=b"mine",
    is_signed=True,
)
SEEN = {"tenant": "acme", "caller-service": "front"}


def _history(sent=SENT, execution_count=1, headers=SEEN, revoked=None):
    server = endpoint.Endpoint(
        endpoint.EndpointSettings(
            address="127.0.0.1:1",
            service="front",
            zone="zone-a",
            control_address="127.0.0.1:2",
            outbound_address="127.0.0.1:3",
        )
    )
    if execution_count:
        server.executions["r1"] = execution_count
        server.received_headers["r1"] = dict(headers)
    return histories.History(
        sent=[sent], endpoints=[server], revoked=revoked or {}
    )


def test_a_request_that_was_served_once_violates_nothing():
    """Guards against a soak test that reports what is allowed."""
    assert _history().violations() == []


@pytest.mark.parametrize(
    ("changes", "execution_count", "headers", "message"),
    [
        ({}, 2, SEEN, "ran 2 times"),
        ({"status": 503, "is_signed": False}, 1, SEEN, "was answered 503"),
        ({"status": 429, "is_signed": False}, 1, SEEN, "was answered 429"),
        ({"answer": b"of another"}, 1, SEEN, "not its own"),
        ({"answered_id": "r2"}, 1, SEEN, "not its own"),
        ({"is_signed": False}, 1, SEEN, "not its own"),
        ({}, 1, SEEN | {"tenant": "zeta"}, "tenant 'zeta'"),
        ({}, 1, SEEN | {"caller-service": "x"}, "caller-service 'x'"),
        ({}, 1, SEEN | {"authorization": "Bearer k"}, "with its key"),
    ],
)
def test_each_violation_is_reported(changes, execution_count, headers, message):
    """Guards against a soak test that misses a violation."""
    sent = dataclasses.replace(SENT, **changes)
    (line,) = _history(sent, execution_count, headers).violations()
    assert message in line


@pytest.mark.parametrize(
    ("revoked_at", "is_violation"), [(4.9, True), (5.1, False)]
)
def test_a_revoked_key_may_work_for_5_s_only(revoked_at, is_violation):
    """Guards against revoked keys that work at nodes cut off from the store."""
    history = _history(revoked={"key-of-acme": revoked_at})
    assert bool(history.violations()) is is_violation


@pytest.mark.parametrize(
    ("executed_at", "is_violation"), [(12.1, True), (11.9, False)]
)
def test_a_leaving_endpoint_gets_no_late_request(executed_at, is_violation):
    """Guards against requests that reach an endpoint about to exit."""
    history = _history()
    server = history.endpoints[0]
    server.last_execution_at = executed_at
    history.departures.append((server, 10.0))
    assert bool(history.violations()) is is_violation
