"""The targets that a node compares for a call."""

import collections

import pytest

from common import mesh_fleet
from sassafras_node.mesh.calls import dispatch
from sassafras_policy.calls import messages
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import targets

_CALL = calls.Call(
    request=messages.Request("GET", "/read/1", (), b""),
    request_id="r1",
    caller_service="front",
    organisation="",
    service="back",
    context=messages.CallContext("r1", "", 0, 0, 1e9, 0, False),
    is_idempotent=True,
)


def _entry(number, zone):
    return targets.NodeEntry(
        node_id=f"node-{number}",
        incarnation=1,
        availability_zone=zone,
        call_address="",
        link_address="",
        target=targets.Announcement(
            f"i-{number}", "back", "", 100, targets.State.READY, 0.0, 1, 1
        ),
    )


@pytest.mark.loopback
@pytest.mark.parametrize("size", [30, 500])
async def test_a_choice_costs_the_same_for_a_service_of_any_size(
    tmp_path, size, monkeypatch
):
    """Guards against work for each target of a service while it is full."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        runtime = fleet.nodes["one"]
        for number in range(size):
            runtime.fleet.update(_entry(number, f"zone-{number % 5}"))
        looked_at = collections.Counter()
        make = runtime.target_tracker.make_candidate

        def count(node_id, **values):
            looked_at[node_id] += 1
            return make(node_id, **values)

        monkeypatch.setattr(runtime.target_tracker, "make_candidate", count)
        full = messages.CallResponse(
            outcome=dispatch.outcomes.Outcome.RAN, load=5.0
        )
        for number in range(size):
            runtime.target_tracker.record_response(f"node-{number}", full)
        for _ in range(100):
            assert dispatch._choose(runtime, _CALL, dispatch.SendHistory())
        assert looked_at.total() <= 100 * 25
        # No part of the service is left out for long.
        assert len(looked_at) > 0.95 * size


@pytest.mark.loopback
async def test_a_target_of_the_zone_with_room_is_preferred(tmp_path):
    """Guards against traffic between zones that nobody needs."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one", zone="zone-0")
        runtime = fleet.nodes["one"]
        for number in range(50):
            runtime.fleet.update(_entry(number, f"zone-{number % 5}"))
        for _ in range(50):
            entry = dispatch._choose(runtime, _CALL, dispatch.SendHistory())
            assert entry.availability_zone == "zone-0"
