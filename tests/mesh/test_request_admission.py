"""Admission of whole requests by running nodes."""

import pytest

from common import mesh_fleet
from sassafras_node.mesh.calls import request_admission
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import reports
from sassafras_wire.settings import node as node_settings

POLICY = node_settings.PolicySection(
    admission="deadline", requests="whole-requests", limiter="pooled-share"
)


def _response(demand):
    room = reports.Room(1.0, 0.02, demand)
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN,
        reports=(reports.ServiceReport("front", 1, 0.1, room),),
    )


@pytest.mark.loopback
async def test_a_response_of_another_node_tells_the_room(tmp_path):
    """Guards against reports that are lost between two nodes."""
    async with mesh_fleet.running(tmp_path) as fleet:
        fleet.policy = POLICY
        await fleet.add_machine("one", service="back")
        await fleet.add_machine("two")
        await fleet.wait_until_settled()
        node = fleet.nodes["one"]
        assert not node.requests.covers("front", node.clock.now())
        response = await fleet.send_request("one", request_id="r1")
        assert response.status == 200
        assert node.requests.covers("front", node.clock.now())
        assert node.requests.duration_s("safe", "front") > 0.0
        assert node.requests.admitted_shares == {}


@pytest.mark.loopback
async def test_a_refusal_names_the_service_without_room(tmp_path, monkeypatch):
    """Guards against refusals whose cause no log line tells."""
    logged = []
    monkeypatch.setattr(
        request_admission, "room_short", lambda *values: logged.append(values)
    )
    async with mesh_fleet.running(tmp_path) as fleet:
        fleet.policy = POLICY
        await fleet.add_machine("one")
        await fleet.wait_until_settled()
        await fleet.wait_until_version(1)
        node = fleet.nodes["one"]
        refused = None
        for number in range(50):
            now = node.clock.now()
            node.requests.record_response(
                "safe", "front", _response(16.0), now - 0.1, now
            )
            response = await fleet.send_request("one", request_id=f"r{number}")
            if response.status == 503:
                refused = response
                break
        assert refused is not None
        assert float(messages.first_value(refused.headers, "retry-after")) > 0.0
        ((request_id, route, _, service, part, *_),) = logged
        assert (request_id, route, service) == (f"r{number}", "safe", "front")
        assert part < 1.0


@pytest.mark.loopback
async def test_nodes_with_the_default_policies_report_nothing(tmp_path):
    """Guards against a change of deployments that do not ask for it."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one", service="back")
        await fleet.add_machine("two")
        await fleet.wait_until_settled()
        node = fleet.nodes["one"]
        assert node.target.gate.room is None
        assert (await fleet.send_request("one")).status == 200
        assert not node.requests.covers("front", node.clock.now())
