"""Outcomes of calls whose deadline passes, and of stale connections."""

import pytest
import trio

from common import call_nodes
from common import fake_targets
from sassafras_node.calls import entry
from sassafras_policy.calls import outcomes
from sassafras_wire.http import pool

NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
RAN = outcomes.Outcome.RAN

pytestmark = pytest.mark.loopback


@pytest.mark.parametrize("remote", [False, True], ids=["local", "peer"])
async def test_a_deadline_before_and_after_sending(remote):
    """Guards against the same outcome before and after the request is sent."""
    async with (
        trio.open_nursery() as nursery,
        # Without admission control both calls wait for the connection.
        call_nodes.fleet(
            nursery, ["entry"], deadline_ms=300, admission="unlimited"
        ) as fleet,
    ):
        front = await fleet.add()
        host = await fleet.add("entry", connections=1)
        target = fake_targets.CountingTarget(host.target_address, hang=True)
        await nursery.start(target.run)
        runtime = front.runtime if remote else host.runtime
        responses = {}

        async def call(name, deadline_ms):
            responses[name] = await entry.handle_root(
                runtime,
                call_nodes.request(
                    "POST",
                    f"/entry/{name}",
                    sassafras_deadline_ms=str(deadline_ms),
                ),
            )

        async with trio.open_nursery() as callers:
            callers.start_soon(call, "sent", 300)
            await trio.sleep(0.05)
            # The only connection is taken, so nothing of this call is sent.
            callers.start_soon(call, "waiting", 100)
        assert responses["sent"].outcome is UNKNOWN
        assert responses["sent"].reason is outcomes.Reason.DEADLINE
        assert responses["waiting"].reason is outcomes.Reason.DEADLINE
        assert target.executions == 1
        assert responses["waiting"].outcome is NOT_RUN


async def test_a_deadline_while_waiting_for_a_peer_link_is_not_run():
    """Guards against "unknown" for a call that never left the node."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(
            nursery, ["entry"], deadline_ms=300, connections_per_peer=1
        ) as fleet,
    ):
        front = await fleet.add()
        host = await fleet.add("entry")
        target = fake_targets.CountingTarget(host.target_address, hang=True)
        await nursery.start(target.run)
        responses = []

        async def call(deadline_ms):
            request = call_nodes.request(
                "POST", "/entry/1", sassafras_deadline_ms=str(deadline_ms)
            )
            responses.append(await entry.handle_root(front.runtime, request))

        async with trio.open_nursery() as callers:
            callers.start_soon(call, 300)
            await trio.sleep(0.05)
            callers.start_soon(call, 100)
            callers.start_soon(call, 150)
        assert target.executions == 1
        assert sorted(response.outcome for response in responses) == [
            NOT_RUN,
            NOT_RUN,
            UNKNOWN,
        ]


async def test_a_refusal_after_a_possible_execution_is_unknown():
    """Guards against "not run" when only the last attempt did not run."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=1000) as fleet,
    ):
        first = await fleet.add("entry")
        second = await fleet.add("entry")
        failing = fake_targets.CountingTarget(
            first.target_address, fake_targets.CutPoint.WHOLE_REQUEST
        )
        await nursery.start(failing.run)
        # The second target refuses connections.
        assert second.target_address != first.target_address
        response = await entry.handle_root(
            first.runtime, call_nodes.request("GET", "/entry/1")
        )
        assert failing.executions >= 1
        assert response.outcome is UNKNOWN


async def test_a_closed_keep_alive_connection_fails_no_call():
    """Guards against calls that fail on a connection closed while idle."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        host = await fleet.add("entry")
        target = fake_targets.CountingTarget(
            host.target_address, fake_targets.CutPoint.AFTER_ANSWER
        )
        await nursery.start(target.run)
        for number in range(5):
            response = await entry.handle_root(
                host.runtime, call_nodes.request("POST", "/entry/1")
            )
            assert response.outcome is RAN
            assert target.executions == target.connections == number + 1
            await trio.sleep(0.01)


async def test_a_send_that_fails_at_once_uses_another_connection(monkeypatch):
    """Guards against "unknown" when the socket accepted no byte."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        host = await fleet.add("entry")
        target = fake_targets.CountingTarget(
            host.target_address, fake_targets.CutPoint.AFTER_ANSWER, reset=True
        )
        await nursery.start(target.run)
        # The connection can be closed after the check and before the send.
        monkeypatch.setattr(
            pool.client.ClientConnection, "is_stale", lambda self: False
        )
        for number in range(3):
            response = await entry.handle_root(
                host.runtime, call_nodes.request("POST", "/entry/1")
            )
            assert response.outcome is RAN
            assert target.executions == number + 1
            await trio.sleep(0.01)
