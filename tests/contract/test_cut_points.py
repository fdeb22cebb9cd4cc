"""Responses to callers when a target or a link fails during an exchange."""

import dataclasses

import pytest
import trio

from common import call_nodes
from common import fake_targets
from sassafras_base import errors
from sassafras_node.calls import entry
from sassafras_policy.calls import outcomes
from sassafras_policy.membership import records
from sassafras_wire.peer import codec
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

CutPoint = fake_targets.CutPoint
NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
RAN = outcomes.Outcome.RAN

pytestmark = pytest.mark.loopback

# Where the connection is cut, the allowed outcomes when no other target exists,
# and the number of executions.
SINGLE_TARGET = [
    (CutPoint.BEFORE_CONNECT, {NOT_RUN}, 0),
    # The reset may arrive before or after the first byte is sent.
    (CutPoint.AFTER_CONNECT, {NOT_RUN, UNKNOWN}, 0),
    (CutPoint.HALF_REQUEST, {UNKNOWN}, 0),
    (CutPoint.WHOLE_REQUEST, {UNKNOWN}, 1),
    (CutPoint.HALF_ANSWER, {UNKNOWN}, 1),
    (CutPoint.AFTER_ANSWER, {RAN}, 1),
    (CutPoint.NEVER, {RAN}, 1),
]


def _check(response, executions, at_most_once):
    if response.outcome is NOT_RUN:
        assert executions == 0, "reported as not run, but it ran"
    if response.outcome is RAN:
        assert executions >= 1
        assert response.body == b"done"
    if at_most_once:
        assert executions <= 1, "ran twice"


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
@pytest.mark.parametrize("remote", [False, True], ids=["local", "peer"])
@pytest.mark.parametrize(("cut", "allowed", "runs"), SINGLE_TARGET)
async def test_an_at_most_once_call_to_the_only_target(
    cut, allowed, runs, remote, reset
):
    """Guards against "not run" after an execution and against a second one."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=400) as fleet,
    ):
        front = await fleet.add()
        host = await fleet.add("entry")
        target = fake_targets.CountingTarget(
            host.target_address, cut, reset=reset
        )
        await nursery.start(target.run)
        runtime = front.runtime if remote else host.runtime
        response = await entry.handle_root(
            runtime, call_nodes.request("POST", "/entry/1", b"x" * 3000)
        )
        assert response.outcome in allowed, response
        assert target.executions == runs
        _check(response, target.executions, at_most_once=True)


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize(("cut", "allowed", "runs"), SINGLE_TARGET)
async def test_a_second_target_gets_only_what_cannot_have_run(
    cut, allowed, runs, method
):
    """Guards against second executions and failures that a retry avoids."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=2000) as fleet,
    ):
        first = await fleet.add("entry")
        second = await fleet.add("entry")
        failing = fake_targets.CountingTarget(first.target_address, cut)
        healthy = fake_targets.CountingTarget(second.target_address)
        await nursery.start(failing.run)
        await nursery.start(healthy.run)
        # The local target is tried first.
        response = await entry.handle_root(
            first.runtime, call_nodes.request(method, "/entry/1", b"x" * 3000)
        )
        executions = failing.executions + healthy.executions
        _check(response, executions, method == "POST")
        if method == "GET" or allowed == {NOT_RUN}:
            assert response.outcome is RAN
        elif allowed == {UNKNOWN}:
            assert response.outcome is UNKNOWN
            assert healthy.executions == 0


class FakePeer:
    """Authenticates like a node, counts calls, and disconnects at a point."""

    POINTS = (
        "before connect",
        "after connect",
        "after the handshake",
        "after the call",
        "after half of the answer",
        "after the answer",
    )

    def __init__(self, runtime, point):
        self.runtime = runtime
        self.point = point
        self.executions = 0

    async def run(self, nursery):
        if self.point == "before connect":
            return
        host, port = self.runtime.settings.host.peer_address.rsplit(":", 1)
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream):
        async with trio.open_nursery() as nursery:
            try:
                if self.point != "after connect":
                    link = await links.accept_link(
                        nursery, stream, "test", self.runtime.credentials
                    )
                    await self._exchange(link, stream)
            except errors.SassafrasError:
                pass
            finally:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
                nursery.cancel_scope.cancel()

    async def _exchange(self, link, stream):
        if self.point == "after the handshake":
            return
        call = await link.expect(models.Call)
        self.executions += 1
        response = models.AnswerMessage(
            call_id=call.call_id,
            outcome="ran",
            status=200,
            headers=[],
            body=b"done",
        )
        if self.point == "after half of the answer":
            data = codec.encode(response)
            frame = bytes([0x82, 126]) + len(data).to_bytes(2, "big") + data
            await stream.send_all(frame[: len(frame) // 2])
        elif self.point == "after the answer":
            await link.send(response)


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("point", FakePeer.POINTS)
async def test_a_peer_that_dies_during_a_call(point, method):
    """Guards against "not run" or a second execution when a link is cut."""
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"], deadline_ms=1500) as fleet,
    ):
        front = await fleet.add()
        failing = await fleet.add("entry")
        healthy = await fleet.add("entry")
        # The fake replaces a node that is in the table of the others.
        impostor = call_nodes.make_runtime(fleet._folder)
        peer = FakePeer(impostor, point)
        await peer.run(nursery)
        replaced = failing.runtime.table.own
        front.runtime.table.merge(
            [
                dataclasses.replace(replaced, node_id=impostor.table.own_id),
                dataclasses.replace(
                    replaced,
                    version=99,
                    target_state=records.TargetState.LEAVING,
                ),
            ]
        )
        target = fake_targets.CountingTarget(healthy.target_address)
        await nursery.start(target.run)
        # The other target's load of 1 makes the balancer choose the fake.
        front.runtime.target_tracker.record_failure(healthy.node_id)
        response = await entry.handle_root(
            front.runtime, call_nodes.request(method, "/entry/1", b"x")
        )
        executions = peer.executions + target.executions
        _check(response, executions, method == "POST")
        if point == "after the handshake":
            # The close may be seen before or after the call is sent.
            assert response.outcome in (RAN, UNKNOWN), response
        elif method == "GET" or point in (
            "before connect",
            "after connect",
            "after the answer",
        ):
            assert response.outcome is RAN, response
        else:
            assert response.outcome is UNKNOWN, response
        if response.outcome is UNKNOWN:
            assert target.executions == 0
