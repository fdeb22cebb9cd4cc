"""Entry point of `sassafras-node`."""

import pathlib
import random
import signal
import sys

from absl import app
from absl import flags
import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_node import gc_settings
from sassafras_node import help_text
from sassafras_node import program_runner
from sassafras_node import runtime as runtimes
from sassafras_node import supervisor
from sassafras_wire.settings import loader
from sassafras_wire.settings import node as node_settings

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the node's INI settings file.", required=True
)


def run() -> None:
    """Runs the binary."""
    # absl shows the docstring of the main module above the list of flags.
    sys.modules["__main__"].__doc__ = help_text.describe(sys.argv[0])
    app.run(_main)


def _main(argv: list[str]) -> int:
    return program_runner.run(argv, _load_and_serve)


def _load_and_serve() -> None:
    settings = loader.load(
        pathlib.Path(_SETTINGS.value), node_settings.NodeSettings
    )
    events.configure(settings.log.level)
    trio.run(_serve, settings)


async def _serve(settings: node_settings.NodeSettings) -> None:
    runtime = runtimes.Runtime(settings, clocks.SystemClock(), random.Random())
    gc_settings.apply()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_stop, runtime)
        await supervisor.run(runtime)
        nursery.cancel_scope.cancel()


async def _wait_for_stop(runtime: runtimes.Runtime) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            runtime.drain.requested.set()
