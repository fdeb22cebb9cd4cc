"""Targets that are cold, with nodes, endpoints and the store."""

import pytest
import trio
import trio.testing

from common import mesh_fleet
from common import waiting
from sassafras_node.mesh.calls import dispatch
from sassafras_node.mesh.calls import local
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.mesh import calls
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_wire.http import pool

pytestmark = pytest.mark.loopback

_RATE_PER_S = 4.0
_BOUNDS = ("ColdOver=1.5", "ColdSlack=4", "EvacMs=5000")
_BOUND = _RATE_PER_S * 1.5 + 4
_SERVICES = (documents.ServiceRow("front", 3.0, _RATE_PER_S),)
_KEY = "op/evacuate/zone-a"


async def _with_fleet(tmp_path, names, check, services=_SERVICES):
    async with mesh_fleet.running(
        tmp_path, more_bounds=_BOUNDS, services=services
    ) as fleet:
        for name in names:
            await fleet.add_machine(name, zone=f"zone-{name[0]}")
        await fleet.wait_until_settled()
        with trio.fail_after(40):
            await check(fleet)


async def _until(condition, description):
    async def check():
        return condition()

    await waiting.until(check, description)


async def _until_cold(fleet, *names):
    await _until(
        lambda: all(fleet.nodes[name].target.is_cold for name in names),
        f"{names} known to be cold",
    )


async def _send_many(fleet, names, rate_per_s, span_s):
    """Sends requests in turn through nodes; returns the statuses."""
    statuses = []

    async def send(name):
        statuses.append((await fleet.send_request(name)).status)

    async with trio.open_nursery() as nursery:
        for number in range(int(rate_per_s * span_s)):
            nursery.start_soon(send, names[number % len(names)])
            await trio.sleep(1 / rate_per_s)
    return statuses


async def test_a_cold_service_gets_its_rate_and_no_more(tmp_path):
    """Guards against targets that fail because all of a service are cold."""

    async def check(fleet):
        names = ("a1", "b1")
        for name in names:
            fleet.endpoints[name].become_cold(60.0)
        await _until_cold(fleet, *names)
        for endpoint in fleet.endpoints.values():
            endpoint.cold_arrivals.clear()
        statuses = await _send_many(fleet, names, 60.0, 3.0)
        for name in names:
            assert fleet.endpoints[name].max_cold_arrivals() <= _BOUND
            # The rate is used, too.
            assert len(fleet.endpoints[name].cold_arrivals) >= 10
        assert set(statuses) == {200, 503}
        assert statuses.count(200) == sum(
            len(e.cold_arrivals) for e in fleet.endpoints.values()
        )

    await _with_fleet(tmp_path, ("a1", "b1"), check)


async def test_others_serve_for_a_cold_target(tmp_path):
    """Guards against refusals while another target has room."""

    async def check(fleet):
        cold = fleet.endpoints["a1"]
        cold.become_cold(60.0)
        await _until_cold(fleet, "a1")
        cold.cold_arrivals.clear()
        statuses = await _send_many(fleet, ("a1", "a2", "b1"), 60.0, 2.0)
        assert set(statuses) == {200}
        assert cold.max_cold_arrivals() <= _BOUND

    await _with_fleet(tmp_path, ("a1", "a2", "b1"), check)


async def test_a_refused_call_is_not_sent_to_the_cold_local_target(tmp_path):
    """Guards against refusals by two cold targets while a full one may queue.

    Seen with real processes right after a zone was taken back.
    """

    async def check(fleet):
        node = fleet.nodes["a1"]
        node.target.doubt_warmth("test")
        full = messages.CallResponse(outcome=outcomes.Outcome.RAN, load=5.0)
        node.target_tracker.record_response("b1", full)
        refused = dispatch.SendHistory(tried=["a2"])
        for _ in range(20):
            chosen = dispatch._choose(node, _call(node, 1), refused)
            assert chosen.node_id == "b1"

    await _with_fleet(tmp_path, ("a1", "a2", "b1"), check)


async def test_without_a_rate_in_the_configuration_nothing_changes(tmp_path):
    """Guards against a change for earlier deployments."""

    async def check(fleet):
        cold = fleet.endpoints["a1"]
        cold.become_cold(60.0)
        await trio.sleep(1.0)
        assert not fleet.nodes["a1"].target.is_cold
        statuses = await _send_many(fleet, ("a1",), 60.0, 1.0)
        assert set(statuses) == {200}
        assert len(cold.cold_arrivals) == len(statuses)

    await _with_fleet(tmp_path, ("a1",), check, services=())


async def test_a_target_that_turns_cold_while_a_call_waits(tmp_path):
    """Guards against queued calls that are sent at the rate of a warm one."""

    async def check(fleet):
        node = fleet.nodes["a1"]
        gate = node.target.gate
        held = 0
        while gate.load < 1.0:
            await gate.enter(_call(node, held).context)
            held += 1
        responses = []

        async def send(number):
            responses.append(await _serve(node, number))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(send, number)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not responses
            node.target.doubt_warmth("test")
            for _ in range(held):
                gate.leave_with_error()
        reasons = [response.reason for response in responses]
        assert reasons.count(outcomes.Reason.NONE) == 1
        assert reasons.count(outcomes.Reason.COLD_TARGET) == 5
        assert len(fleet.endpoints["a1"].executions) == 1
        withheld = node.measurements.render({})
        assert 'withheld_calls_total{kind="cold-target"} 5' in withheld
        assert gate.load < 1.0

    await _with_fleet(tmp_path, ("a1",), check)


async def test_targets_are_cold_after_their_zone_is_taken_back(tmp_path):
    """Guards against the calls of a warm zone right after an evacuation."""

    async def check(fleet):
        fleet.store.put(_KEY, b"{}")
        await _until(
            lambda: all(n.evacuations.zones for n in fleet.nodes.values()),
            "the zone is evacuated",
        )
        # They become cold in the same moment, before they can say so.
        for name in ("a1", "a2"):
            fleet.endpoints[name].become_cold(3.0)
        fleet.store.remove(_KEY)
        await _until(
            lambda: not any(n.evacuations.zones for n in fleet.nodes.values()),
            "the zone is taken back",
        )
        statuses = await _send_many(fleet, ("a1", "a2", "b1"), 100.0, 3.5)
        for name in ("a1", "a2"):
            assert fleet.endpoints[name].max_cold_arrivals() <= _BOUND
        # The other zone serves meanwhile.
        assert set(statuses) == {200}
        await _until(lambda: not fleet.nodes["a1"].target.is_cold, "a1 is warm")
        before = len(fleet.endpoints["a1"].executions)
        await _send_many(fleet, ("a1",), 50.0, 1.0)
        assert len(fleet.endpoints["a1"].executions) - before == 50

    await _with_fleet(tmp_path, ("a1", "a2", "b1"), check)


async def test_a_refused_connection_makes_a_target_doubtful(tmp_path):
    """Guards against calls at full rate to a target that starts again."""

    async def check(fleet):
        node = fleet.nodes["a1"]
        assert not node.target.is_cold
        sound = node.target.pool
        node.target.pool = pool.ConnectionPool(
            launcher.free_address(),
            "target.call",
            size=1,
            body_limit=1000,
            connect_timeout_s=1.0,
        )
        response = await _serve(node, 1)
        node.target.pool = sound
        assert response.reason is outcomes.Reason.UNREACHABLE
        assert node.target.is_cold
        await _until(lambda: not node.target.is_cold, "it announced itself")

    await _with_fleet(tmp_path, ("a1",), check)


async def _serve(node, number):
    return await local.serve(
        node,
        _call(node, number),
        node.entry.target.target_id,
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
