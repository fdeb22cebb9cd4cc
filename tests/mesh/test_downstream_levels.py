"""Refusals at the first node on behalf of overloaded downstream services."""

import random

import pytest

from common import mesh_fleet
from sassafras_node.mesh.calls import dispatch
from sassafras_platform import front_end
from sassafras_policy.admission import levels
from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import downstream
from sassafras_standins.platform import documents

SCALE = priorities.scale_of_classes(3)
OPEN = SCALE.open_level


def _context(priority=2, bucket=100, depth=0):
    return messages.CallContext(
        root_id="r",
        organisation="acme",
        priority=priority,
        bucket=bucket,
        deadline=1e9,
        depth=depth,
        at_most_once=False,
    )


def test_a_downstream_level_affects_only_routes_that_call_it():
    """Guards against settlements refused for a directory they never call."""
    tracker = downstream.DownstreamLevels()
    tracker.record_call("lookup", "returns", "directory")
    tracker.update("returns", "directory", 10, SCALE, 1.0)
    assert tracker.min_level("lookup", OPEN, SCALE, 1.0) == 10
    assert tracker.min_level("settle", OPEN, SCALE, 1.0) == OPEN


def test_a_downstream_level_refuses_requests_of_its_route_only():
    """Guards against a single level for all routes of a service."""
    tracker = downstream.DownstreamLevels()
    tracker.update(
        "settlement", "lookup", 2 * messages.BUCKET_COUNT, SCALE, 1.0
    )
    context = _context()
    level = tracker.level("settlement", "lookup", SCALE, 1.0)
    assert levels.refuses(level, context)
    assert not levels.refuses(level, _context(priority=0))
    assert tracker.level("settlement", "settle", SCALE, 1.0) == OPEN


def test_calls_of_a_removed_route_are_forgotten():
    """Guards against memory use that grows with each configuration."""
    tracker = downstream.DownstreamLevels()
    tracker.record_call("old", "returns", "directory")
    tracker.record_call("new", "returns", "directory")
    tracker.update("returns", "directory", 10, SCALE, 1.0)
    tracker.keep_routes(frozenset(["new", "directory"]))
    assert tracker.min_level("old", OPEN, SCALE, 1.0) == OPEN
    assert tracker.min_level("new", OPEN, SCALE, 1.0) == 10


@pytest.mark.parametrize(
    ("request_id", "parent_id"),
    [("a1", ""), ("a1.b2", "a1"), ("a1.b2.c3", "a1.b2"), ("", "")],
)
def test_the_id_of_a_call_contains_the_id_of_its_parent(request_id, parent_id):
    """Guards against sub-calls that lose the rank of their request."""
    caller_request = front_end.FrontEnd().read_request(
        messages.Request(
            "GET", "/a/", (("host", "h"), ("request-id", request_id)), b""
        )
    )
    assert caller_request.parent_id == parent_id


@pytest.mark.loopback
async def test_a_call_has_the_rank_and_the_deadline_of_its_request(tmp_path):
    """Guards against a status check that is executed before a lodgement.

    Both make sub-calls on one route, whose own rank applies to neither.
    """
    routes = (
        documents.RouteRow("first", mesh_fleet.HOST, "/first/", "front"),
        mesh_fleet.INNER,
    )
    async with mesh_fleet.running(tmp_path, routes=routes) as fleet:
        await fleet.add_machine("one")
        await fleet.add_machine("two", service="back")
        await fleet.wait_until_settled()
        contexts = {}
        node = fleet.nodes["two"]
        enter = node.target.gate.enter

        async def record_context(context):
            contexts[context.root_id] = context
            return await enter(context)

        node.target.gate.enter = record_context
        caller = fleet.nodes["one"]
        parent = _context(priority=1, bucket=random.Random(1).randrange(128))
        caller.running_calls["p"] = calls.RunningCall(
            calls.Call(
                request=messages.Request("GET", "/first/1", (), b""),
                request_id="p",
                caller_service="",
                organisation="",
                service="front",
                context=parent,
                is_idempotent=True,
                route="first",
            )
        )
        response = await fleet.send_request(
            "one", "/inner/1", key=None, request_id="p.c"
        )
        assert response.status == 200
        context = contexts["p.c"]
        assert (context.priority, context.bucket) == (1, parent.bucket)
        assert context.depth == 1
        caller.downstream_levels.update(
            "back", "inner", 7, caller.scale, caller.clock.now()
        )
        assert (
            caller.downstream_levels.min_level("first", OPEN, SCALE, 0.0) < OPEN
        )


@pytest.mark.loopback
async def test_the_levels_that_refuse_a_request_are_logged(
    tmp_path, monkeypatch
):
    """Guards against refusals whose cause no log line tells.

    In inc-02c0 of klpc-mesh, 630 requests a second were refused at their first
    nodes, and nothing told a full processor from an overloaded service.
    """
    logged = []

    def record(request_id, service, rank, **values):
        logged.append((request_id, service, values))

    monkeypatch.setattr(dispatch, "request_shed", record)
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        await fleet.wait_until_version(1)
        await fleet.wait_until_settled()
        node = fleet.nodes["one"]
        node.downstream_levels.update(
            "front", "safe", 1, node.scale, node.clock.now()
        )
        response = await fleet.send_request("one", request_id="r1")
        assert response.status == 503
        ((request_id, service, values),) = logged
        assert (request_id, service) == ("r1", "front")
        assert values["service_level"] < values["processor_level"]
