"""Decoding of the platform's formats."""

import json

import pytest

from sassafras_base import errors
from sassafras_platform import announcements
from sassafras_platform import boot
from sassafras_platform import configuration as configuration_format
from sassafras_platform import front_end
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets
from sassafras_standins.platform import documents
from sassafras_standins.platform import machines
from sassafras_wire.http import client
from sassafras_wire.settings import node as node_settings

_HEARTBEAT = {
    "Service": "front",
    "Address": "10.0.0.1:80",
    "Zone": "zone-a",
    "Version": "v1",
    "Capacity": 8,
    "State": "draining",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "born": 1700000000000,
}


def _heartbeat_request(body):
    return messages.Request(
        "POST", "/sassafrasmount/instances/i-1/heartbeat", (), body
    )


def test_a_heartbeat_is_decoded():
    """Guards against fields that are mixed up."""
    call = announcements.Codecs().read_announcement(
        _heartbeat_request(json.dumps(_HEARTBEAT).encode())
    )
    assert call.announcement == targets.Announcement(
        "i-1",
        "front",
        "10.0.0.1:80",
        8,
        targets.State.LEAVING,
        1.5,
        4,
        1700000000000,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'"text"',
        *(
            json.dumps(_HEARTBEAT | change).encode()
            for change in (
                {"State": "asleep"},
                {"Capacity": "8"},
                {"Capacity": 0},
                {"Service": ""},
                {"Sequence": None},
                {"Address": 5},
                {"born": 1.5},
            )
        ),
        json.dumps(
            {k: v for k, v in _HEARTBEAT.items() if k != "State"}
        ).encode(),
    ],
)
def test_an_invalid_heartbeat_is_refused(body):
    """Guards against an invalid message that disturbs the node."""
    with pytest.raises(errors.InvalidInputError):
        announcements.Codecs().read_announcement(_heartbeat_request(body))


def test_a_configuration_is_decoded_without_keys_in_the_clear():
    """Guards against weights, priorities and timeouts that are lost."""
    document = documents.configuration(
        12,
        (
            documents.RouteRow(
                "split",
                "h",
                "/a/",
                route_type="unsafe",
                timeout_ms=800,
                priority=2,
                weights=(("x", 90), ("y", 10)),
                max_targets=3,
            ),
        ),
        (documents.TenantRow("acme", ("secret",), 5.0, 7.0, 1),),
    )
    decoded = configuration_format.decode(document)
    (route,) = decoded.routes
    assert decoded.version == 12
    assert not route.is_idempotent
    assert (route.timeout_s, route.priority, route.max_targets) == (0.8, 2, 3)
    assert [(s.service, s.weight) for s in route.shares] == [
        ("x", 90.0),
        ("y", 10.0),
    ]
    (organisation,) = decoded.organisations
    assert organisation.priority == 1
    assert organisation.account.rate_per_s == 5.0
    assert "secret" not in repr(decoded)


@pytest.mark.parametrize(
    "value", [b"", b"{}", b'{"Version": 7}', b'{"Version": "7"}', b"\x00"]
)
def test_an_invalid_configuration_is_refused(value):
    """Guards against activating a partly decoded configuration."""
    with pytest.raises(errors.InvalidInputError):
        configuration_format.decode(value)


def _call(**headers):
    request = messages.Request(
        "GET",
        "/a/1?q",
        (
            ("host", "h.example:80"),
            ("request-id", "r1"),
            ("deadline-ms", "250"),
            ("connection", "x-once, close"),
            ("x-once", "1"),
            ("x-more", "2"),
            *headers.items(),
        ),
        b"",
    )
    return front_end.FrontEnd().read_request(request)


def test_a_request_is_decoded():
    """Guards against hop-by-hop fields that are forwarded."""
    caller_request = _call(authorization="Bearer k")
    assert caller_request.host == "h.example"
    assert (caller_request.request_id, caller_request.key) == ("r1", "k")
    assert caller_request.caller_timeout_s == 0.25
    names = {name for name, _ in caller_request.request.headers}
    assert names == {"host", "request-id", "x-more"}


def test_a_refusal_has_a_retry_after_in_fractions_of_a_second():
    """Guards against callers who wait longer than they need to."""
    headers = front_end.FrontEnd().response_headers(
        messages.refusal(
            outcomes.Reason.OVERLOAD, 503, "full", retry_after_ms=250
        )
    )
    assert ("retry-after", "0.250") in headers


@pytest.mark.parametrize(
    ("status", "headers", "ran", "is_intact"),
    [
        (200, (("response-signature", "s"),), True, True),
        (200, (), True, False),
        (500, (), True, True),
        (503, (("not-executed", "1"),), False, True),
        (421, (), False, True),
        (
            200,
            (("response-signature", "s"), ("content-encoding", "gzip")),
            True,
            False,
        ),
    ],
)
def test_a_response_of_a_target_is_decoded(status, headers, ran, is_intact):
    """Guards against "not run" for an executed request, and altered bodies."""
    target_response = front_end.FrontEnd().read_target_response(
        client.Response(status, headers, b"")
    )
    assert (target_response.ran, target_response.is_intact) == (ran, is_intact)


def test_a_response_to_another_request_is_not_accepted():
    """Guards against responses that reach the wrong caller."""
    caller_request = _call()
    call = calls.Call(
        caller_request.request,
        caller_request.request_id,
        "front",
        "",
        "front",
        messages.CallContext("r1", "", 0, 0, 1.0, 0, False),
        True,
    )
    adapter = front_end.FrontEnd()
    for headers, match in (
        ((("request-id", "r1"),), client.Match.OWN),
        ((("request-id", "r2"),), client.Match.OTHER),
        ((), client.Match.UNNAMED),
    ):
        response = client.Response(200, headers, b"")
        assert adapter.match_response(call, response) is match


def test_the_settings_file_gives_addresses_and_bounds(tmp_path):
    """Guards against a bound that is read in the wrong unit."""
    path = tmp_path / "local.json"
    machine = machines.make_machine("m", "zone-a", "front")
    path.write_bytes(machine.boot_file("10.0.0.9:1"))
    settings = boot.load(path, node_settings.PolicySection())
    assert settings.host.caller_address == machine.address("Outbound")
    assert settings.store.address == "10.0.0.9:1"
    assert settings.bounds.revocation_s == 5.0
    assert settings.bounds.rate_tolerance.requests == 20.0


@pytest.mark.parametrize(
    ("content", "named"),
    [(b"{}", "Node"), (b"no json", "JSON"), (None, "cannot be read")],
)
def test_a_settings_file_with_faults_is_refused_by_name(
    tmp_path, content, named
):
    """Guards against a node that starts with incomplete settings."""
    path = tmp_path / "local.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(errors.InvalidInputError, match=named):
        boot.load(path, node_settings.PolicySection())
