"""Which connections give way when a node has no room for another."""

import errno

import pytest
import trio

from common import waiting
from sassafras_node import listening
from sassafras_policy.admission import connections
from sassafras_policy.admission import memory
from sassafras_standins.fleet import launcher
from sassafras_wire.http import client
from sassafras_wire.http import sockets


class _Connection:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


def _group(limit, budget=None, reserve=0):
    budget = budget or connections.SocketBudget(1000)
    return connections.ConnectionGroup(budget, limit, reserve)


def test_the_connection_that_waits_for_the_longest_gives_way():
    """Guards against clients that came first and hold every place."""
    group = _group(3)
    first, second, third, fourth = [_Connection() for _ in range(4)]
    assert all(map(group.admit, (first, second, third)))
    group.proceed(first)
    group.wait(first)
    assert group.admit(fourth)
    assert [c.is_closed for c in (first, second, third)] == [False, True, False]
    assert group.count == 3


def test_a_connection_whose_request_runs_is_never_closed():
    """Guards against requests that may have run and lose their response."""
    group = _group(2)
    first, second = _Connection(), _Connection()
    for connection in (first, second):
        assert group.admit(connection)
        group.proceed(connection)
    assert not group.admit(_Connection())
    assert not first.is_closed
    assert not second.is_closed
    group.remove(first)
    assert group.admit(_Connection())


def test_callers_leave_a_reserve_and_give_way_to_other_sockets():
    """Guards against callers that take the descriptors of calls and store."""
    budget = connections.SocketBudget(8)
    callers = _group(8, budget, reserve=2)
    budget.reclaimers = [callers.close_longest_wait]
    clients = [_Connection() for _ in range(7)]
    assert all(map(callers.admit, clients))
    assert callers.count == 6
    assert clients[0].is_closed
    # Two from the reserve, the others in the place of callers that wait.
    assert all(budget.take() for _ in range(5))
    assert budget.open == 8
    assert callers.count == 3
    for connection in clients:
        callers.proceed(connection)
    assert not budget.take()


def test_others_cannot_close_every_connection_of_callers():
    """Guards against a caller that is refused while nothing runs for any."""
    budget = connections.SocketBudget(8)
    callers = _group(8, budget, reserve=2)
    assert all(budget.take() for _ in range(6))
    assert callers.admit(_Connection())
    assert callers.admit(_Connection())


def test_a_removed_connection_is_counted_once():
    """Guards against a count that drifts when a closed connection ends."""
    budget = connections.SocketBudget(10)
    group = _group(1, budget)
    first, second = _Connection(), _Connection()
    assert group.admit(first)
    assert group.admit(second)
    group.wait(first)
    group.remove(first)
    group.remove(second)
    group.remove(second)
    assert (group.count, budget.open) == (0, 0)


def test_a_response_that_makes_no_progress_gives_way_to_one_that_fits():
    """Guards against unread responses, and cuts only where that helps."""
    now = 0.0
    stalled = connections.StalledConnections(lambda: now, 0.1)
    budget = memory.ResponseBudget(1000, stalled)
    unread, reading, last = (budget.open() for _ in range(3))
    assert unread.grow(400)
    stalled.add("unread", unread.release)
    assert not last.grow(300), "no wait was long enough"
    now = 1.0
    assert reading.grow(60)
    stalled.add("reading", reading.release)
    assert not last.grow(600), "it does not fit an empty budget"
    assert unread.held_bytes == 400
    assert last.grow(300)
    assert (unread.held_bytes, reading.held_bytes) == (0, 60)
    assert budget.held_bytes == 360


@pytest.mark.loopback
@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
async def test_a_process_without_descriptors_goes_on_accepting(
    monkeypatch, code
):
    """Guards against accept loops that fail until their supervisor gives up."""
    address = launcher.free_address()
    failures = iter([OSError(code, "none is free")] * 3)
    accept = sockets.Listener.accept

    async def accept_with_failures(self):
        for failure in failures:
            raise failure
        return await accept(self)

    monkeypatch.setattr(sockets.Listener, "accept", accept_with_failures)
    group = _group(10)
    idle = _Connection()
    assert group.admit(idle)

    async def serve(stream, peer):
        await stream.send_all(b"served")

    listener = listening.Listener("test", address, serve, group)
    listener.bind()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run_sessions)
        nursery.start_soon(listener.accept)
        stream = await client.open_stream(address, "test", 5.0)
        assert await stream.receive_some(100) == b"served"
        nursery.cancel_scope.cancel()
    assert idle.is_closed
    listener.close()


@pytest.mark.loopback
async def test_a_connection_over_the_limit_gets_a_refusal():
    """Guards against a reset, which does not say that nothing has run."""
    address = launcher.free_address()
    group = _group(1)

    async def serve(stream, peer):
        group.proceed(stream)
        await trio.sleep_forever()

    listener = listening.Listener("test", address, serve, group, lambda: b"no")
    listener.bind()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run_sessions)
        nursery.start_soon(listener.accept)
        await client.open_stream(address, "test", 5.0)

        async def is_served():
            return group.count == 1 and not group.close_longest_wait()

        await waiting.until(is_served, "the first connection is served")
        refused = await client.open_stream(address, "test", 5.0)
        await refused.send_all(b"a request that is not read")
        assert await refused.receive_some(100) == b"no"
        assert await refused.receive_some(100) == b""
        nursery.cancel_scope.cancel()
    listener.close()
