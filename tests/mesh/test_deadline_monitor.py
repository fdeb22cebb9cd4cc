"""Deadlines of exchanges and idle timeouts, without a scope for each."""

import pytest
import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import deadlines
from sassafras_wire.http import pool
from sassafras_wire.http import sockets

pytestmark = pytest.mark.loopback

_INTERVAL_S = 0.02
_REQUEST = messages.Request("GET", "/", (("host", "target"),), b"")
_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Server:
    """Answers each request after a delay, and counts its connections."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.connections = 0
        self._listener = sockets.Listener.bind("127.0.0.1", 0)

    @property
    def address(self):
        host, port = self._listener._socket.getsockname()
        return f"{host}:{port}"

    async def run(self):
        async with trio.open_nursery() as nursery:
            while True:
                for stream, _ in await self._listener.accept():
                    self.connections += 1
                    nursery.start_soon(self._serve, stream)

    async def _serve(self, stream):
        try:
            while await stream.receive_some():
                await trio.sleep(self.delay_s)
                await stream.send_all(_RESPONSE)
        except trio.BrokenResourceError:
            pass
        stream.close()


async def _with_pool(delay_s, use, size=4):
    server = _Server(delay_s)
    monitor = deadlines.DeadlineMonitor(_INTERVAL_S)
    connections = pool.ConnectionPool(
        server.address,
        "target.call",
        size=size,
        body_limit=1000,
        connect_timeout_s=1.0,
        monitor=monitor,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        nursery.start_soon(monitor.run)
        with trio.fail_after(10):
            await use(connections, server, monitor)
        nursery.cancel_scope.cancel()


async def test_an_exchange_ends_at_its_deadline_and_may_have_run():
    """Guards against calls that hang, or count as not run, at a timeout."""

    async def use(connections, server, monitor):
        progress = progresses.Progress()
        with pytest.raises(errors.ConnectionLostError):
            await connections.exchange(
                _REQUEST, progress, deadline=trio.current_time() + 0.1
            )
        assert progress.may_have_run

    await _with_pool(60.0, use)


async def test_the_connection_of_a_late_exchange_is_not_used_again():
    """Guards against a late response that reaches the next request."""

    async def use(connections, server, monitor):
        with pytest.raises(errors.ConnectionLostError):
            await connections.exchange(
                _REQUEST, deadline=trio.current_time() + 0.1
            )
        server.delay_s = 0.0
        await connections.exchange(_REQUEST, deadline=trio.current_time() + 5)
        assert server.connections == 2

    await _with_pool(0.4, use)


async def test_a_finished_exchange_leaves_no_deadline():
    """Guards against idle connections that an old deadline closes."""

    async def use(connections, server, monitor):
        await connections.exchange(_REQUEST, deadline=trio.current_time() + 0.1)
        await trio.sleep(0.2)
        await connections.exchange(_REQUEST, deadline=trio.current_time() + 5)
        assert server.connections == 1

    await _with_pool(0.0, use)


async def test_a_wait_for_a_connection_ends_at_the_deadline():
    """Guards against calls that wait for a full pool beyond their deadline."""

    async def use(connections, server, monitor):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connections.exchange, _REQUEST)
            await trio.sleep(0.05)
            progress = progresses.Progress()
            with pytest.raises(errors.UnreachableError):
                await connections.exchange(
                    _REQUEST, progress, deadline=trio.current_time() + 0.1
                )
            assert not progress.may_have_run

    await _with_pool(0.5, use, size=1)


class _StepCounter(trio.abc.Instrument):
    steps = 0

    def before_task_step(self, task):
        self.steps += 1


async def test_a_monitor_without_deadlines_does_not_wake():
    """Guards against processor time of nodes without traffic."""
    monitor = deadlines.DeadlineMonitor(0.001)
    counter = _StepCounter()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(0.05)
        trio.lowlevel.add_instrument(counter)
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    # This task wakes once; the monitor would wake 200 times.
    assert counter.steps < 20


async def test_an_earlier_deadline_moves_the_next_check():
    """Guards against a monitor that sleeps until the first deadline it saw."""
    server = _Server(0.0)
    monitor = deadlines.DeadlineMonitor(_INTERVAL_S)
    streams = []
    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            nursery.start_soon(monitor.run)
            host, _, port = server.address.rpartition(":")
            for _ in range(2):
                streams.append(
                    await sockets.SocketStream.connect(host, int(port))
                )
            monitor.set(streams[0], trio.current_time() + 3600.0)
            await trio.sleep(2 * _INTERVAL_S)
            monitor.set(streams[1], trio.current_time() + _INTERVAL_S)
            # The monitor closes the connection, which ends the wait.
            with pytest.raises((trio.ClosedResourceError, OSError)):
                await streams[1].receive_some()
            assert streams[0].fileno() >= 0
            streams[0].close()
            nursery.cancel_scope.cancel()
