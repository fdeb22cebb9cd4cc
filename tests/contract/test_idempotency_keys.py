"""Requests with an idempotency key, on nodes in one process."""

import pytest
import trio

from common import call_nodes
from common import fake_targets
from sassafras_node.calls import entry
from sassafras_policy.calls import outcomes
from sassafras_policy.idempotency import homes
from sassafras_policy.membership import roster as rosters
from sassafras_standins import serving

NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
RAN = outcomes.Outcome.RAN
# At least this many keys are used; more until two homes have served one.
_MIN_KEYS = 5
_MAX_KEYS = 100
Reason = outcomes.Reason

pytestmark = pytest.mark.loopback


class EchoTarget:
    """Counts executions by body and answers after a delay."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.executions = []

    async def handle(self, request):
        self.executions.append(request.body)
        await trio.sleep(self.delay_s)
        return serving.response(b"answer %d" % len(self.executions))


def _post(key, body=b"entry", path="/entry/1", organisation=call_nodes.KEY):
    return call_nodes.request(
        "POST", path, body, organisation, idempotency_key=key
    )


async def _start(nursery, fleet, count, delay_s=0.0):
    targets = []
    for _ in range(count):
        host = await fleet.add("entry")
        target = EchoTarget(delay_s)
        await nursery.start(serving.listen, host.target_address, target.handle)
        targets.append(target)
    return targets


def _executions(targets):
    return sum(len(target.executions) for target in targets)


async def test_a_repeat_at_any_node_gets_the_stored_response():
    """Guards against a second execution after a repeat at another node."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 3)
        await fleet.add()
        fleet.set_roster()
        # The homes of keys follow from ports, which differ between runs.
        for number in range(_MAX_KEYS):
            key = f"key-{number}"
            if (
                number >= _MIN_KEYS
                and sum(bool(t.executions) for t in targets) > 1
            ):
                break
            before = _executions(targets)
            bodies = set()
            for host in fleet.hosts:
                response = await entry.handle_root(host.runtime, _post(key))
                assert response.outcome is RAN
                bodies.add(response.body)
            assert len(bodies) == 1
            assert _executions(targets) == before + 1
        assert sum(1 for target in targets if target.executions) > 1


async def test_an_immediate_repeat_waits_for_the_first():
    """Guards against two executions when a repeat precedes the response."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 2, delay_s=0.1)
        fleet.set_roster()
        responses = []

        async def call(host):
            responses.append(await entry.handle_root(host.runtime, _post("a")))

        async with trio.open_nursery() as callers:
            for host in fleet.hosts * 3:
                callers.start_soon(call, host)
        assert {response.body for response in responses} == {b"answer 1"}
        assert len(responses) == 6
        assert _executions(targets) == 1


async def test_a_disconnected_caller_gets_the_response_when_it_retries():
    """Guards against losing the outcome with the caller's connection."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 2, delay_s=0.2)
        fleet.set_roster()
        for host in fleet.hosts:
            before = _executions(targets)
            key = f"key of {host.node_id}"
            with trio.move_on_after(0.05):
                await entry.handle_root(host.runtime, _post(key))
            response = await entry.handle_root(host.runtime, _post(key))
            assert response.outcome is RAN
            assert _executions(targets) == before + 1


@pytest.mark.parametrize(
    ("second", "status", "runs"),
    [
        (_post("a"), 200, 1),
        (_post("a", body=b"other"), 422, 1),
        (_post("a", path="/entry/2"), 422, 1),
        (_post("a", organisation=call_nodes.OTHER_KEY), 200, 2),
        (_post("b"), 200, 2),
        (_post("a", organisation="forged"), 401, 1),
        (_post("a", organisation=""), 401, 1),
        (_post(""), 400, 1),
        (_post("x" * 256), 400, 1),
        (call_nodes.request("POST", "/entry/1", b"entry"), 200, 2),
        # The key is ignored on a route whose requests may run twice.
        (call_nodes.request("GET", "/entry/1", idempotency_key="a"), 200, 2),
    ],
)
async def test_the_response_to_a_second_request_with_a_key(
    second, status, runs
):
    """Guards against keys shared between organisations or contents."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 2)
        fleet.set_roster()
        runtime = fleet.hosts[0].runtime
        first = await entry.handle_root(runtime, _post("a"))
        assert first.outcome is RAN
        response = await entry.handle_root(runtime, second)
        assert response.status == status
        assert _executions(targets) == runs


@pytest.mark.parametrize(
    ("cut", "first", "again", "runs"),
    [
        (fake_targets.CutPoint.BEFORE_CONNECT, NOT_RUN, NOT_RUN, 0),
        (fake_targets.CutPoint.HALF_REQUEST, UNKNOWN, UNKNOWN, 0),
        (fake_targets.CutPoint.WHOLE_REQUEST, UNKNOWN, UNKNOWN, 1),
        (fake_targets.CutPoint.HALF_ANSWER, UNKNOWN, UNKNOWN, 1),
        (fake_targets.CutPoint.AFTER_ANSWER, RAN, RAN, 1),
    ],
)
async def test_cut_points_with_a_key(cut, first, again, runs):
    """Guards against a repeat that runs after a possible first execution."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=500) as fleet,
    ):
        host = await fleet.add("entry")
        front = await fleet.add()
        fleet.set_roster()
        target = fake_targets.CountingTarget(host.target_address, cut)
        await nursery.start(target.run)
        for runtime, outcome in (
            (front.runtime, first),
            (host.runtime, again),
            (front.runtime, again),
        ):
            response = await entry.handle_root(runtime, _post("a"))
            assert response.outcome is outcome, response
        assert target.executions == runs


async def test_an_unreachable_home_means_unknown():
    """Guards against running a key elsewhere while its home is unreachable."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=500) as fleet,
    ):
        targets = await _start(nursery, fleet, 1)
        gone = rosters.Member("127.0.0.1:9", "entry", 1)
        host = fleet.hosts[0]
        host.runtime.roster.offer(rosters.Roster(1, (gone,)))
        response = await entry.handle_root(host.runtime, _post("a"))
        assert (response.outcome, response.reason) == (
            UNKNOWN,
            Reason.HOME_UNAVAILABLE,
        )
        assert _executions(targets) == 0


async def test_a_home_that_was_restarted_runs_no_key_it_may_have_known():
    """Guards against a second execution after a restart lost the records."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 1)
        runtime = fleet.hosts[0].runtime
        runtime.homes = homes.Homes(
            runtime.table.own_id, runtime.table.own.incarnation + 1, 0.0
        )
        runtime.homes._started_at = runtime.clock.now_with_suspend()
        fleet.set_roster()
        response = await entry.handle_root(runtime, _post("a"))
        assert response.reason is Reason.HOME_UNAVAILABLE
        runtime.homes._started_at -= homes.RECORD_LOSS_WINDOW_S + 1
        response = await entry.handle_root(runtime, _post("a"))
        assert response.outcome is RAN
        assert _executions(targets) == 1


async def test_a_new_home_takes_records_over_from_the_earlier_one():
    """Guards against a second execution when a new node becomes the home."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 2)
        fleet.set_roster(1)
        first = {}
        for number in range(12):
            key = f"key {number}"
            response = await entry.handle_root(
                fleet.hosts[0].runtime, _post(key)
            )
            first[key] = response.body
        targets += await _start(nursery, fleet, 2)
        fleet.set_roster(2)
        for key, body in first.items():
            for host in fleet.hosts:
                response = await entry.handle_root(host.runtime, _post(key))
                assert response.outcome is RAN
                assert response.body == body
        assert _executions(targets) == 12
        # New keys run, also those whose home has moved.
        for number in range(12):
            response = await entry.handle_root(
                fleet.hosts[0].runtime, _post(f"new {number}")
            )
            assert response.outcome is RAN
        assert _executions(targets) == 24


async def test_a_new_home_waits_until_an_earlier_one_has_the_roster():
    """Guards against two homes that both run a key in different epochs."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        targets = await _start(nursery, fleet, 2)
        fleet.set_roster(1)
        old, new = fleet.hosts
        only_old = rosters.Roster(
            1, (rosters.Member(old.node_id, "entry", 2**62),)
        )
        for host in fleet.hosts:
            host.runtime.roster._current = rosters.Roster()
            host.runtime.homes = homes.Homes(host.node_id, 1, 0.0)
            host.runtime.roster.offer(only_old)
        both = rosters.Roster(
            2,
            tuple(
                rosters.Member(host.node_id, "entry", 2**62)
                for host in fleet.hosts
            ),
        )
        new.runtime.roster.offer(both)
        key = next(
            f"key {number}"
            for number in range(100)
            if new.runtime.homes.home_of(
                "entry",
                homes.scope_of("bank", "POST /entry/**", f"key {number}"),
            )
            == new.node_id
        )
        response = await entry.handle_root(new.runtime, _post(key))
        assert response.reason is Reason.HOME_UNAVAILABLE
        response = await entry.handle_root(old.runtime, _post(key))
        assert response.outcome is RAN
        old.runtime.roster.offer(both)
        response = await entry.handle_root(new.runtime, _post(key))
        assert response.outcome is RAN
        assert _executions(targets) == 1
