"""The path of a call through a node under overload, with fakes at its ends."""

import types

import trio

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_node.calls import contexts
from sassafras_node.calls import dispatch
from sassafras_node.calls import entry
from sassafras_node.calls import local
from sassafras_node.calls import shedding
from sassafras_node.peers import target_tracking
from sassafras_node.targets import gate as gates
from sassafras_node.targets import local_target
from sassafras_policy.admission import levels
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import indexes
from sassafras_policy.membership import records
from sassafras_policy.retries import guard
from sassafras_policy.retries import policies as retry_policies
from sassafras_standins.fleet import samples
from sassafras_wire.http import client as http_client
from sassafras_wire.settings import node as node_settings

OWN_ID = "10.0.0.1:7401"
SCALE = priorities.scale_of_classes(len(samples.CLASSES))
OPEN = SCALE.open_level


class FakeTargetPool:
    """A target with a slow response; counts cancelled requests."""

    def __init__(self, response_s=0.05, status=200, error=None, connect_s=0.0):
        self.response_s = response_s
        self.connect_s = connect_s
        self.status = status
        self.error = error
        self.requests = []
        self.cancelled = 0
        self.during = None

    async def exchange(self, request, progress):
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        try:
            await trio.sleep(self.connect_s)
            progress.may_have_run = True
            if self.during is not None:
                await self.during(request)
            await trio.sleep(self.response_s)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        return http_client.Response(self.status, (), b"")


def _runtime(pool, slots=4, policy=policies.Adaptive):
    clock = clocks.TrioClock()
    own = records.NodeRecord(
        node_id=OWN_ID,
        availability_zone="zone-a",
        incarnation=1,
        version=1,
        status=records.Status.ALIVE,
        service="desk",
        target_state=records.TargetState.SERVING,
        slots=slots,
    )
    gate = gates.AdmissionGate(policy(slots, SCALE), clock)
    return types.SimpleNamespace(
        clock=clock,
        configuration=types.SimpleNamespace(
            index=indexes.Index(samples.document())
        ),
        contexts=contexts.ContextTable(),
        drain=types.SimpleNamespace(is_draining=False),
        service_levels=levels.ServiceLevels(),
        target_tracker=target_tracking.TargetTracker(clock),
        retry_guard=guard.RetryGuard(),
        retry_policy=retry_policies.Budgeted(),
        table=types.SimpleNamespace(own_id=OWN_ID, own=own),
        target=types.SimpleNamespace(is_serving=True, gate=gate, pool=pool),
    )


def _call(priority=2, bucket=0, deadline_s=5.0, depth=0):
    return contexts.ActiveCall(
        context=messages.CallContext(
            root_id="root",
            organisation="national-bank",
            priority=priority,
            bucket=bucket,
            deadline=trio.current_time() + deadline_s,
            depth=depth,
            at_most_once=False,
        ),
        authority=None,
    )


def _request(path="/desk/1", **headers):
    return messages.Request("GET", path, tuple(headers.items()), b"")


async def test_a_passed_deadline_cancels_the_call_at_the_target():
    """Guards against targets that work on calls after their deadline."""
    pool = FakeTargetPool(response_s=60.0)
    runtime = _runtime(pool)
    response = await local.serve(runtime, _request(), _call(deadline_s=0.5))
    assert pool.cancelled == 1
    assert response.outcome is outcomes.Outcome.UNKNOWN
    assert response.reason is outcomes.Reason.DEADLINE
    assert runtime.target.gate.load == 0.0


async def test_a_deadline_that_passes_before_sending_is_not_run():
    """Guards against "unknown" for a call that was never sent."""
    pool = FakeTargetPool(connect_s=60.0)
    runtime = _runtime(pool)
    response = await local.serve(runtime, _request(), _call(deadline_s=0.5))
    assert pool.cancelled == 1
    assert response.outcome is outcomes.Outcome.NOT_RUN
    assert dict(response.levels) == {"desk": OPEN}


async def test_a_client_disconnect_cancels_the_call_at_the_target():
    """Guards against work for callers that have disconnected."""
    pool = FakeTargetPool(response_s=60.0)
    runtime = _runtime(pool)
    with trio.move_on_after(0.1):
        await local.serve(runtime, _request(), _call(deadline_s=100.0))
    assert pool.cancelled == 1
    assert runtime.target.gate.load == 0.0


async def test_calls_over_the_queue_limit_do_not_reach_the_target():
    """Guards against a target that gets more calls than it can run."""
    pool = FakeTargetPool(response_s=1.0)
    runtime = _runtime(pool, slots=1)
    responses = []

    async def one():
        responses.append(await local.serve(runtime, _request(), _call()))

    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(one)
    refused = [a for a in responses if a.outcome is outcomes.Outcome.NOT_RUN]
    assert len(pool.requests) == 1
    assert len(refused) == 9
    for response in refused:
        assert response.reason is outcomes.Reason.OVERLOAD
        assert response.retry_after_ms > 0
        assert response.load >= 1.0


async def test_a_response_carries_the_levels_of_downstream_services():
    """Guards against first nodes that miss a downstream overload."""
    pool = FakeTargetPool()
    runtime = _runtime(pool)
    call = _call()
    call.sub_call_tracker.record_response(
        messages.CallResponse(
            outcome=outcomes.Outcome.RAN,
            levels=(("accounts", OPEN), ("ledger", 270)),
        )
    )
    response = await local.serve(runtime, _request(), call)
    assert dict(response.levels) == {
        "desk": OPEN,
        "accounts": OPEN,
        "ledger": 270,
    }


async def test_a_sub_call_adds_its_levels_and_its_time_to_the_parent(
    monkeypatch,
):
    """Guards against sub-call time that is counted as a slow target."""

    async def answer_sub_call(runtime, request, call):
        await trio.sleep(1.0)
        return messages.CallResponse(
            outcome=outcomes.Outcome.RAN,
            status=503,
            levels=(("ledger", 270),),
        )

    monkeypatch.setattr(dispatch, "dispatch", answer_sub_call)
    pool = FakeTargetPool(response_s=0.02, status=502)
    runtime = _runtime(pool)
    call = _call()

    async def sub_call(request):
        fields = {"sassafras-context": request.header("sassafras-context")}
        await entry.handle_sub_call(runtime, _request("/ledger/1", **fields))

    pool.during = sub_call
    response = await local.serve(runtime, _request(), call)
    assert dict(response.levels)["ledger"] == 270
    assert response.sub_call_failed
    assert call.sub_call_tracker.sub_call_s(trio.current_time()) == 1.0
    assert runtime.target.gate.load == 0.0
    assert runtime.service_levels.value(
        "ledger", SCALE, trio.current_time()
    ) == (270)


async def test_the_first_node_refuses_by_downstream_levels(
    monkeypatch,
):
    """Guards against work upstream of a service that refuses anyway."""
    dispatched = []

    async def record_call(runtime, request, call):
        dispatched.append(request.path)
        return messages.CallResponse(outcome=outcomes.Outcome.RAN)

    monkeypatch.setattr(dispatch, "dispatch", record_call)
    runtime = _runtime(FakeTargetPool())
    runtime.service_levels.update("ledger", 270, SCALE, trio.current_time())
    refused = await shedding.serve(runtime, _request(), _call(bucket=20))
    assert refused.outcome is outcomes.Outcome.NOT_RUN
    assert refused.reason is outcomes.Reason.OVERLOAD
    assert refused.retry_after_ms > 0
    assert not refused.levels, "an echo would keep other nodes' levels tight"
    assert not dispatched
    await shedding.serve(runtime, _request(), _call(bucket=5))
    await shedding.serve(runtime, _request(), _call(priority=0, bucket=127))
    assert len(dispatched) == 2
    await trio.sleep(5.0)
    await shedding.serve(runtime, _request(), _call(bucket=127))
    assert len(dispatched) == 3


async def test_errors_of_a_downstream_service_do_not_lower_the_limit():
    """Guards against limits that fall upstream of an overloaded target."""
    pool = FakeTargetPool(response_s=0.02)
    runtime = _runtime(pool)

    async def serve_rounds(count):
        for _ in range(count):
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(
                        local.serve, runtime, _request(), _call()
                    )

    await serve_rounds(30)
    assert runtime.target.gate.limit == 4
    pool.status = 502
    pool.response_s = 0.08
    await serve_rounds(30)
    assert runtime.target.gate.limit == 4


async def test_a_request_continues_after_a_response_from_another_service(
    monkeypatch,
):
    """Guards against wasted work of a service that has already responded."""

    async def respond(runtime, request, call):
        return messages.CallResponse(outcome=outcomes.Outcome.RAN)

    monkeypatch.setattr(dispatch, "dispatch", respond)
    runtime = _runtime(FakeTargetPool())
    parent = contexts.SubCallTracker()
    late = _call(bucket=127, depth=1)
    runtime.service_levels.update("ledger", 270, SCALE, trio.current_time())
    refused = await shedding.serve(runtime, _request(), late, parent)
    assert refused.outcome is outcomes.Outcome.NOT_RUN
    parent.record_response(refused)
    refused = await shedding.serve(runtime, _request(), late, parent)
    assert refused.outcome is outcomes.Outcome.NOT_RUN
    parent.record_response(messages.CallResponse(outcome=outcomes.Outcome.RAN))
    passed = await shedding.serve(runtime, _request(), late, parent)
    assert passed.outcome is outcomes.Outcome.RAN


async def test_failures_of_downstream_services_do_not_eject_a_target():
    """Guards against healthy targets ejected for another service's fault."""
    runtime = _runtime(FakeTargetPool())
    response = messages.CallResponse(
        outcome=outcomes.Outcome.RAN, status=502, sub_call_failed=True
    )
    refusal = messages.refusal(outcomes.Reason.OVERLOAD, 503, "full")
    for _ in range(50):
        runtime.target_tracker.record_response("peer", response)
        runtime.target_tracker.record_response("peer", refusal)
    assert not runtime.target_tracker.is_ejected("peer")


async def test_a_target_that_fails_fast_is_ejected_and_tried_again():
    """Guards against fast failures that attract all calls."""
    runtime = _runtime(FakeTargetPool(response_s=0.0, status=500))
    for _ in range(5):
        await local.serve(runtime, _request(), _call())
    assert runtime.target_tracker.is_ejected(OWN_ID)
    await trio.sleep(5.0)
    assert not runtime.target_tracker.is_ejected(OWN_ID)


async def test_a_target_that_cannot_be_reached_is_ejected_at_once():
    """Guards against calls to a target that has crashed."""
    error = errors.UnreachableError("target.call", "target", "refused")
    runtime = _runtime(FakeTargetPool(error=error))
    response = await local.serve(runtime, _request(), _call())
    assert response.retryable
    assert runtime.target_tracker.is_ejected(OWN_ID)


async def test_the_local_target_is_not_chosen_while_it_is_ejected():
    """Guards against a failing target that its own node prefers."""
    runtime = _runtime(FakeTargetPool())
    own = runtime.table.own
    peer = records.NodeRecord(
        node_id="10.0.0.2:7401",
        availability_zone="zone-a",
        incarnation=1,
        version=1,
        status=records.Status.ALIVE,
        service="desk",
        target_state=records.TargetState.SERVING,
        slots=4,
    )
    candidates = []

    def choose(found):
        candidates.extend(found)
        return next(c for c in found if not c.ejected)

    runtime.table.serving = lambda service: [own, peer]
    runtime.table.get = {own.node_id: own, peer.node_id: peer}.get
    runtime.target.has_free_slot = True
    runtime.balancer = types.SimpleNamespace(choose=choose)
    assert dispatch._choose(runtime, "desk", set()) is own
    runtime.target_tracker.record_failure(OWN_ID)
    assert dispatch._choose(runtime, "desk", set()) is peer
    assert [c.ejected for c in candidates] == [True, False]


async def test_a_target_that_misreports_its_load_still_gets_calls():
    """Guards against admission that relies on the load targets report."""
    settings = node_settings.NodeSettings(
        host=node_settings.HostSection(
            availability_zone="zone-a",
            caller_address="10.0.0.1:7400",
            target_address="127.0.0.1:7402",
            peer_address=OWN_ID,
            admin_address="127.0.0.1:7403",
        ),
        peers=node_settings.PeersSection(secret_file="secret"),
    )
    target = local_target.LocalTarget(settings, clocks.TrioClock())
    for load in (0.0, 50.0):
        await target.announce(
            records.Announcement(
                address="127.0.0.1:9000",
                service="desk",
                slots=4,
                connections=2,
                cold_start_s=0.0,
                state=records.TargetState.SERVING,
                load=load,
            )
        )
        assert target.has_free_slot
        assert target.gate.load == 0.0
    assert target.gate.limit <= 2, "calls beyond the connections would wait"
