"""Availability zones that the operator empties and takes back."""

import loguru
import pytest
import trio
import trio.testing

from common import mesh_fleet
from common import waiting
from sassafras_node.mesh.calls import local
from sassafras_node.mesh.peers import link
from sassafras_node.mesh.peers import link_session
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import freshness
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client
from sassafras_wire.http import pool

pytestmark = pytest.mark.loopback

_BOUNDS = ("EvacMs=5000",)
_KEY = "op/evacuate/zone-a"


async def _with_two_zones(tmp_path, check, **options):
    async with mesh_fleet.running(
        tmp_path, more_bounds=_BOUNDS, **options
    ) as fleet:
        await fleet.add_machine("a1", zone="zone-a", slots=2)
        await fleet.add_machine("a2", zone="zone-a", slots=2)
        await fleet.add_machine("b1", zone="zone-b", slots=2)
        await fleet.wait_until_settled()
        with trio.fail_after(30):
            await check(fleet)


async def _until_known(fleet, zones, names=None):
    async def check():
        return all(
            fleet.nodes[name].evacuations.zones == set(zones)
            for name in names or fleet.nodes
        )

    await waiting.until(check, f"{zones} known to be evacuated")


async def _until(condition, description):
    async def check():
        return condition()

    await waiting.until(check, description)


def _executions(fleet, *names):
    return sum(len(fleet.endpoints[name].executions) for name in names)


async def test_an_emptied_zone_gets_no_requests_until_it_is_taken_back(
    tmp_path,
):
    """Guards against requests in the emptied zone, and refusals elsewhere."""

    async def check(fleet):
        for name in fleet.nodes:
            assert (await fleet.send_request(name)).status == 200
        assert _executions(fleet, "a1", "a2")
        started = trio.current_time()
        fleet.store.put(_KEY, b"{}")
        await _until_known(fleet, {"zone-a"})
        assert trio.current_time() - started < 2.0
        before = _executions(fleet, "a1", "a2")
        for name in list(fleet.nodes) * 3:
            assert (await fleet.send_request(name)).status == 200
        assert _executions(fleet, "a1", "a2") == before
        # No call had to be refused for that.
        for node in fleet.nodes.values():
            assert "withheld_calls_total{" not in node.measurements.render({})
        # The nodes of the zone go on as first nodes.
        assert all(node.is_ready for node in fleet.nodes.values())
        fleet.store.remove(_KEY)
        await _until_known(fleet, ())
        assert (await fleet.send_request("a1")).status == 200
        assert _executions(fleet, "a1", "a2") > before

    await _with_two_zones(tmp_path, check)


async def test_calls_of_an_emptied_target_finish_elsewhere(tmp_path):
    """Guards against requests that are cut off when their zone is emptied."""
    routes = (mesh_fleet.SAFE, mesh_fleet.INNER)
    async with mesh_fleet.running(
        tmp_path, more_bounds=_BOUNDS, routes=routes
    ) as fleet:
        await fleet.add_machine(
            "a1",
            zone="zone-a",
            work_s=1.0,
            sub_calls=(endpoint.SubCall(mesh_fleet.HOST, "/inner/1"),),
        )
        await fleet.add_machine("a2", zone="zone-a", service="back")
        await fleet.add_machine("b2", zone="zone-b", service="back")
        await fleet.wait_until_settled()
        responses = []

        async def send():
            responses.append(await fleet.send_request("a1", request_id="r"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await _until(
                lambda: fleet.endpoints["a1"].executions, "the request runs"
            )
            fleet.store.put(_KEY, b"{}")
            await _until_known(fleet, {"zone-a"})
            assert not responses
        assert responses[0].status == 200
        assert not fleet.endpoints["a2"].executions
        assert fleet.endpoints["b2"].executions == {"r.0": 1}
        # `front` has targets in the emptied zone only.
        response = await fleet.send_request("a1", request_id="later")
        assert response.status == 503
        assert fleet.executions("later") == 0


async def test_queued_calls_are_refused_when_the_evacuation_arrives(tmp_path):
    """Guards against calls that wait for a slot and are sent afterwards."""

    async def check(fleet):
        node = fleet.nodes["a1"]
        gate = node.target.gate
        for number in range(gate.limit):
            await gate.enter(_call(node, number).context)
        reasons = []

        async def send():
            response = await _serve(node, 100)
            reasons.append((response.outcome, response.reason))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not reasons
            node.evacuations.replace({"zone-a"}, node.evacuations.revision + 1)
            gate.leave_with_error()
        assert reasons == [
            (outcomes.Outcome.NOT_RUN, outcomes.Reason.EVACUATED)
        ]
        assert not fleet.endpoints["a1"].executions
        # Its slot is free again, and a call that is not queued is refused too.
        assert gate.load < 1.0
        response = await _serve(node, 101)
        assert response.reason is outcomes.Reason.EVACUATED

    await _with_two_zones(tmp_path, check)


async def test_a_request_of_an_uninformed_node_is_served_elsewhere(tmp_path):
    """Guards against a first node that does not know of the evacuation yet."""

    async def check(fleet):
        node = fleet.nodes["a1"]
        node.evacuations.replace({"zone-a"}, node.evacuations.revision + 1)
        for _ in range(10):
            assert (await fleet.send_request("a2")).status == 200
        assert not fleet.endpoints["a1"].executions

    await _with_two_zones(tmp_path, check)


async def test_a_node_that_the_store_rejects_learns_from_others(tmp_path):
    """Guards against a cut-off node that goes on sending to its target."""

    async def check(fleet):
        _cut_off(fleet.nodes["a1"])
        fleet.store.put(_KEY, b"{}")
        with trio.fail_after(5.0):
            await _until_known(fleet, {"zone-a"}, ["a1"])
        fleet.store.remove(_KEY)
        with trio.fail_after(5.0):
            await _until_known(fleet, (), ["a1"])

    await _with_two_zones(tmp_path, check)


async def test_an_outage_of_the_store_and_a_restart_change_nothing(tmp_path):
    """Guards against a zone that is filled because the store does not answer.

    The node that is started in the middle learns from its peers or not at all.
    """

    async def check(fleet):
        fleet.store.put(_KEY, b"{}")
        await _until_known(fleet, {"zone-a"})
        fleet.store.mode = store_standin.Mode.BUSY
        fleet.kill_node("a1")
        await fleet.wait_until_ended("a1")
        before = _executions(fleet, "a1", "a2")
        await fleet.start_node("a1")
        restarted = fleet.nodes["a1"]
        for number in range(20):
            assert restarted.evacuations.closes_own_zone
            response = await _serve(restarted, number)
            assert response.outcome is outcomes.Outcome.NOT_RUN
            await trio.sleep(0.1)
        assert _executions(fleet, "a1", "a2") == before
        assert fleet.nodes["b1"].evacuations.zones == {"zone-a"}
        fleet.store.mode = store_standin.Mode.NORMAL
        await _until_known(fleet, {"zone-a"})
        await _until(lambda: restarted.is_ready, "the new process is ready")
        assert restarted.evacuations.closes_own_zone
        fleet.store.remove(_KEY)
        await _until_known(fleet, ())

    await _with_two_zones(tmp_path, check)


async def test_a_peer_that_knows_no_evacuations_proves_nothing(tmp_path):
    """Guards against a node that never reads the store beside earlier ones.

    Nodes of an earlier version send no evacuations with their proof.
    """

    async def check(fleet):
        node = fleet.nodes["a1"]
        update = link_session.node_update(fleet.nodes["a2"], node.version)
        earlier = update.model_copy(update={"evacuations_revision": 0})
        now = node.clock.now_with_suspend()
        node.freshness = freshness.Freshness(5.0)
        link._apply_update(node, earlier, now)
        assert not node.freshness.permits_keys(now)
        link._apply_update(node, update, now)
        assert node.freshness.permits_keys(now)

    await _with_two_zones(tmp_path, check)


async def test_history_that_the_store_has_lost_is_read_again(tmp_path):
    """Guards against a key whose removal no watch reports."""

    async def check(fleet):
        fleet.store.put(_KEY, b"{}")
        await _until_known(fleet, {"zone-a"})
        fleet.store.mode = store_standin.Mode.BUSY
        await trio.sleep(1.0)
        fleet.store.remove(_KEY)
        fleet.store.compact()
        fleet.store.mode = store_standin.Mode.NORMAL
        await _until_known(fleet, ())

    await _with_two_zones(tmp_path, check)


async def test_what_the_operator_may_not_have_meant_is_logged(tmp_path):
    """Guards against a mistyped key and an emptied service without a line."""
    lines = []
    sink = loguru.logger.add(lambda message: lines.append(str(message)))
    try:

        async def check(fleet):
            fleet.store.put("op/evacuate/zone-x", b"not an object")
            fleet.store.put("op/evacuate/", b"{}")
            fleet.store.put("op/evacuate/zone-b", b"{}")
            await _until_known(fleet, {"zone-b", "zone-x"})
            assert (await fleet.send_request("b1")).status == 200
            assert not fleet.endpoints["b1"].executions
            fleet.store.put(_KEY, b"[]")
            await _until_known(fleet, {"zone-a", "zone-b", "zone-x"})
            assert (await fleet.send_request("b1")).status == 503

        await _with_two_zones(tmp_path, check)
    finally:
        loguru.logger.remove(sink)
    events = {line.partition("E0")[2][:3] for line in lines if "E086" in line}
    assert events == {"860", "862", "863", "864"}


async def test_a_zone_without_a_bound_of_the_deployment_is_emptied(tmp_path):
    """Guards against a key that only some deployments obey."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("a1", zone="zone-a")
        await fleet.add_machine("b1", zone="zone-b")
        await fleet.wait_until_settled()
        fleet.store.put(_KEY, b"{}")
        await _until_known(fleet, {"zone-a"})
        assert (await fleet.send_request("a1")).status == 200
        assert not fleet.endpoints["a1"].executions


async def test_metrics_show_an_emptied_zone(tmp_path):
    """Guards against an operator who cannot see whether a zone is emptied."""

    async def check(fleet):
        fleet.store.put(_KEY, b"{}")
        await _until_known(fleet, {"zone-a"})
        await _serve(fleet.nodes["a1"], 1)
        connection = await client.ClientConnection.connect(
            fleet.machines["a1"].address("Ready"), "test.ask", 1 << 20, 1.0
        )
        try:
            response = await connection.exchange(
                messages.Request("GET", "/metrics", (("host", "a1"),), b"")
            )
        finally:
            await connection.close()
        text = response.body.decode()
        assert "sassafras_target_closed 1" in text
        assert "sassafras_evacuated_zones 1" in text
        assert 'withheld_calls_total{kind="evacuated-zone"} 1' in text

    await _with_two_zones(tmp_path, check)


def _cut_off(node):
    """Makes each later call of a node to the store fail."""
    node.platform.store._pool = pool.ConnectionPool(
        launcher.free_address(),
        "store.call",
        size=4,
        body_limit=1000,
        connect_timeout_s=0.5,
    )


async def _serve(node, number):
    target = node.entry.target
    return await local.serve(
        node,
        _call(node, number),
        target.target_id if target else "",
        progresses.Progress(),
    )


def _call(node, number):
    return calls.Call(
        request=messages.Request(
            "GET", "/read/1", (("request-id", f"q{number}"),), b""
        ),
        request_id=f"q{number}",
        caller_service="front",
        organisation="",
        service="front",
        context=messages.CallContext(
            f"q{number}", "", 0, 0, node.clock.now() + 5.0, 0, False
        ),
        is_idempotent=True,
    )
