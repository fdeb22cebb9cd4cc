"""Which failed attempts a node retries, and how often."""

import pytest
import trio

from common import call_nodes
from common import fake_targets
from sassafras_node.calls import entry
from sassafras_policy.calls import outcomes

pytestmark = pytest.mark.loopback


@pytest.mark.parametrize(
    ("policy", "outcome"),
    [
        ("budgeted", outcomes.Outcome.RAN),
        ("never", outcomes.Outcome.NOT_RUN),
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_target_that_restarts_quickly(policy, outcome, method):
    """Guards against failing calls while the only target restarts."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], retries=policy) as fleet,
    ):
        host = await fleet.add("entry")
        target = fake_targets.CountingTarget(host.target_address)

        async def start_later():
            await trio.sleep(0.03)
            await nursery.start(target.run)

        nursery.start_soon(start_later)
        response = await entry.handle_root(
            host.runtime, call_nodes.request(method, "/entry/1")
        )
        assert response.outcome is outcome
        assert target.executions == int(outcome is outcomes.Outcome.RAN)


@pytest.mark.parametrize(
    ("policy", "attempts"), [("budgeted", 2), ("never", 1), ("always", 4)]
)
async def test_overload_is_retried_once_at_another_target(
    policy, attempts, monkeypatch
):
    """Guards against retries that add to an overload."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], 1000, retries=policy) as fleet,
    ):
        front = await fleet.add()
        for _ in range(3):
            await fleet.add("entry")
        monkeypatch.setattr(
            "sassafras_node.calls.local.serve", _refuse_for_overload
        )
        calls = []
        send = front.runtime.peer_pools.call

        async def counting_call(node_id, message, call):
            calls.append(node_id)
            return await send(node_id, message, call)

        front.runtime.peer_pools.call = counting_call
        response = await entry.handle_root(
            front.runtime, call_nodes.request("GET", "/entry/1")
        )
        assert response.reason is outcomes.Reason.OVERLOAD
        assert response.outcome is outcomes.Outcome.NOT_RUN
        assert len(calls) == attempts
        assert len(set(calls)) == min(attempts, 3)


async def _refuse_for_overload(runtime, request, call):
    del runtime, request, call
    return call_nodes.messages.refusal(outcomes.Reason.OVERLOAD, 503, "no room")


async def test_many_failing_calls_exhaust_the_retry_guard_of_the_node(
    monkeypatch,
):
    """Guards against a node that doubles the load on a failing service."""
    attempts = []

    async def lose(runtime, request, call):
        del runtime, call
        attempts.append(request.path)
        return call_nodes.messages.unknown(
            outcomes.Reason.CONNECTION_LOST, 502, "lost", retryable=True
        )

    monkeypatch.setattr("sassafras_node.calls.local.serve", lose)
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        first = await fleet.add("entry")
        await fleet.add("entry")
        for number in range(60):
            await entry.handle_root(
                first.runtime, call_nodes.request("GET", f"/entry/{number}")
            )
        # Only the first few requests can use their whole allowance.
        assert attempts.count("/entry/0") == 4
        assert len(attempts) == 60 + 10
