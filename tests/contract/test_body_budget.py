"""The limit on the request bodies of all connections together."""

import pytest
import trio
import trio.testing

from sassafras_wire.http import server

LIMITS = server.ServerLimits(body_bytes=100)


async def _receive(nursery, body, budget):
    """Returns a connection and the request of one client."""
    near, far = trio.testing.memory_stream_pair()
    connection = server.ServerConnection(near, "client", LIMITS, budget)
    head = f"POST /desk HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    await far.send_all(f"{head}\r\n\r\n".encode() + body)
    assert await connection.await_request()
    return connection, await connection.receive()


async def test_bodies_of_all_connections_share_one_limit():
    """Guards against memory that grows with the number of uploads."""
    budget = server.BodyBudget(150)
    async with trio.open_nursery() as nursery:
        first, request = await _receive(nursery, b"a" * 100, budget)
        assert len(request.body) == 100
        with pytest.raises(server.RequestRefusedError) as refused:
            await _receive(nursery, b"b" * 100, budget)
        assert refused.value.status == 503
        first.release_body()
        _, request = await _receive(nursery, b"c" * 100, budget)
        assert request.body == b"c" * 100
        nursery.cancel_scope.cancel()


async def test_a_refused_body_is_released():
    """Guards against a budget that refused uploads use up permanently."""
    budget = server.BodyBudget(150)
    near, far = trio.testing.memory_stream_pair()
    connection = server.ServerConnection(near, "client", LIMITS, budget)
    async with trio.open_nursery() as nursery:
        await far.send_all(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"
        )
        await far.send_all(b"a" * 101)
        assert await connection.await_request()
        with pytest.raises(server.RequestRefusedError):
            await connection.receive()
        connection.release_body()
        assert budget.reserved_bytes == 0
        nursery.cancel_scope.cancel()
