"""Signals that reach a node on the platform before it is ready."""

import signal

import pytest
import trio

from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import processes
from sassafras_standins.platform import store as store_standin

pytestmark = pytest.mark.processes

_INTERVAL_S = 0.05
# Python itself needs this long until the program's first line.
_INTERPRETER_START_S = 0.15


async def test_a_settings_signal_during_the_start_does_not_end_a_node(tmp_path):
    """Guards against a restart of a node whose settings change as it starts."""
    machine = machines.make_machine("one", "zone-a", "front")
    store = store_standin.MetadataStore()
    store_address = launcher.free_address()
    store.put("op/config", documents.configuration(1, (), ()))
    node = processes.NodeProcess(
        machine, tmp_path, store_address, "deploy/node.ini"
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run, store_address)
        server = endpoint.Endpoint(machine.endpoint_settings())
        await nursery.start(server.run)

        async def signal_often():
            await trio.sleep(_INTERPRETER_START_S)
            while True:
                node.send(signal.SIGHUP)
                await trio.sleep(_INTERVAL_S)

        try:
            node.start()
            with trio.fail_after(20):
                nursery.start_soon(signal_often)
                await node.wait_until_ready()
                await trio.sleep(2 * _INTERVAL_S)
                await node.wait_until_ready()
        finally:
            with trio.CancelScope(shield=True):
                await node.kill()
        nursery.cancel_scope.cancel()
