"""The targets that a node compares for a call."""

import collections
import dataclasses

import pytest

from common import mesh_fleet
from sassafras_base import errors
from sassafras_node.mesh.calls import dispatch
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
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


def _reject(runtime, node_id, calls_rejected):
    """Records that the target of a node rejected calls one after another."""
    rejection = messages.refusal(outcomes.Reason.TURNED_AWAY, 503, "rejected")
    for _ in range(calls_rejected):
        runtime.target_tracker.record_response(node_id, rejection)


@pytest.mark.loopback
async def test_the_last_calls_of_a_request_avoid_targets_that_reject(tmp_path):
    """Guards against rejections that fail requests at their last calls."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        runtime = fleet.nodes["one"]
        runtime.fleet.update(_entry(1, runtime.entry.availability_zone))
        runtime.fleet.update(_entry(2, "zone-far"))
        _reject(runtime, "node-1", 20)
        later = dataclasses.replace(_CALL, stage=1)
        for call, expected in ((_CALL, "node-1"), (later, "node-2")):
            chosen = dispatch._choose(runtime, call, dispatch.SendHistory())
            assert chosen.node_id == expected
        # Where all reject alike, a target of the zone is as good as another.
        _reject(runtime, "node-2", 20)
        chosen = dispatch._choose(runtime, later, dispatch.SendHistory())
        assert chosen.node_id == "node-1"


@pytest.mark.loopback
async def test_the_calls_of_a_request_are_counted(tmp_path, monkeypatch):
    """Guards against last calls that are taken for first ones."""
    chosen_stages = []
    choose = dispatch._choose

    def record_stage(runtime, call, history):
        chosen_stages.append(call.stage)
        return choose(runtime, call, history)

    monkeypatch.setattr(dispatch, "_choose", record_stage)
    routes = (mesh_fleet.INNER,)
    async with mesh_fleet.running(tmp_path, routes=routes) as fleet:
        await fleet.add_machine("one")
        await fleet.add_machine("two", service="back")
        await fleet.wait_until_settled()
        running = calls.RunningCall(_CALL)
        fleet.nodes["one"].running_calls["p"] = running
        for number in range(3):
            assert running.sub_calls_done == number
            response = await fleet.send_request(
                "one", "/inner/1", key=None, request_id=f"p.{number}"
            )
            assert response.status == 200
        response = await fleet.send_request(
            "one", "/missing/1", key=None, request_id="p.3"
        )
        assert response.status == 404
        assert running.sub_calls_done == 3
    assert chosen_stages == [0, 1, 2]


@pytest.mark.loopback
async def test_last_calls_are_sent_again_before_first_ones(tmp_path):
    """Guards against a retry budget that first calls use up."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        runtime = fleet.nodes["one"]
        rejection = messages.refusal(
            outcomes.Reason.TURNED_AWAY, 503, "rejected"
        )
        deadline = runtime.clock.now() + 60.0
        first = dataclasses.replace(
            _CALL,
            context=dataclasses.replace(_CALL.context, deadline=deadline),
            max_targets=2,
        )
        later = dataclasses.replace(first, stage=1)

        def is_sent_again(call):
            return dispatch._may_send_again(
                runtime, call, dispatch.SendHistory(), rejection
            )

        while is_sent_again(later):
            pass
        for _ in range(100):
            assert not is_sent_again(later)
        for _ in range(500):
            runtime.retry_budget.count_request(
                _CALL.service, runtime.clock.now()
            )
        assert not is_sent_again(first)
        assert is_sent_again(later)


@pytest.mark.loopback
async def test_calls_to_a_dropped_node_do_not_count_when_it_is_back(
    tmp_path, monkeypatch
):
    """Guards against a node that seems to run fewer calls than none.

    It was dropped while calls to it were in flight, and their ends were counted
    for the node that came back; it got more than its part of the calls.
    """
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        runtime = fleet.nodes["one"]
        entry = _entry(1, "zone-a")
        runtime.fleet.update(entry)

        async def lose(*_):
            runtime.fleet.drop(entry.node_id)
            runtime.forget_node(entry.node_id)
            runtime.fleet.update(entry)
            raise errors.ConnectionLostError("call", entry.node_id, "lost")

        monkeypatch.setattr(runtime.call_pools, "exchange", lose)
        for _ in range(3):
            await dispatch._send(runtime, _CALL, entry, progresses.Progress())
        assert runtime.target_tracker.in_flight(entry.node_id) == 0
