"""Runs a target stand-in as a process; its settings are JSON on argv."""

import signal
import sys

import trio

from sassafras_standins.target import server
from sassafras_standins.target import settings


async def _main(target: server.TargetServer) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(target.run)
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()


if __name__ == "__main__":
    parsed = settings.TargetSettings.model_validate_json(sys.argv[1])
    trio.run(_main, server.TargetServer(parsed))
