"""Watches the configuration in the store while this node is the watcher."""

import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_node.store import keys
from sassafras_wire.peer import models
from sassafras_wire.store import client as store_client

_RETRY_INTERVAL_S = 1.0
# Replaces a watch whose connection died unnoticed.
_REFRESH_S = 60.0


@events.declare(503, "WARNING")
def watch_broke(error: str) -> str:
    """The watch of the configuration failed and is opened again."""
    return f"configuration watch failed: {error}"


async def run(runtime: runtimes.Runtime) -> None:
    """Reads and watches the configuration while this node is the watcher."""
    while True:
        await runtime.watcher_active.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_unwanted, runtime, nursery)
            try:
                with trio.move_on_after(_REFRESH_S) as refresh:
                    await _watch(runtime)
            except (
                store_client.StoreUnavailableError,
                store_client.StoreRefusedError,
            ) as error:
                watch_broke(str(error))
            if not refresh.cancelled_caught:
                await trio.sleep(_RETRY_INTERVAL_S)
            nursery.cancel_scope.cancel()


async def _cancel_when_unwanted(
    runtime: runtimes.Runtime, nursery: trio.Nursery
) -> None:
    await runtime.watcher_inactive.wait()
    nursery.cancel_scope.cancel()


async def _watch(runtime: runtimes.Runtime) -> None:
    found = await runtime.store.get(keys.CONFIGURATION)
    start_revision = 1
    if found is not None:
        _offer(runtime, found.value)
        start_revision = found.mod_revision + 1
    async with runtime.store.watch(
        keys.CONFIGURATION, start_revision
    ) as results:
        async for result in results:
            for event in result.events:
                if event.type == "PUT":
                    _offer(runtime, event.kv.value)
            if result.canceled:
                return


def _offer(runtime: runtimes.Runtime, content: bytes) -> None:
    message = models.DocumentMessage(
        kind=handlers.CONFIGURATION, content=content
    )
    handlers.offer_document(runtime, message, "store")
