"""Targets that write the bytes of their responses themselves."""

import contextlib

import trio

from sassafras_standins.fleet import launcher
from sassafras_wire.http import client
from sassafras_wire.http import pool
from sassafras_wire.http import sockets


@contextlib.asynccontextmanager
async def running(serve, body_limit):
    """Runs `serve` for each connection; yields a pool of connections."""
    address = launcher.free_address()
    host, port = client.split_address(address)
    listener = sockets.Listener.bind(host, port)

    async def handle(stream):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await serve(stream)
        stream.close()

    async def accept(nursery):
        while True:
            for stream, _ in await listener.accept():
                nursery.start_soon(handle, stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept, nursery)
        with trio.fail_after(10):
            yield pool.ConnectionPool(
                address,
                "test.call",
                size=64,
                body_limit=body_limit,
                connect_timeout_s=1.0,
            )
        nursery.cancel_scope.cancel()
    listener.close()
