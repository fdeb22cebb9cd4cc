"""A store that comes back from an older copy, with real processes."""

import pytest
import trio

from common import waiting
from sassafras_policy.calls import messages
from sassafras_standins.platform import store as store_standin
from sassafras_standins.soak import fleet as fleets
from sassafras_wire.http import client

pytestmark = pytest.mark.processes

_KEPT_KEY, _WITHDRAWN_KEY = fleets.KEYS["acme"]
_OVERLOAD = (503, "not-run; reason=overload")
_AWAY_S = 0.5
_REWRITE_S = 1.0


async def _ask(host, key):
    connection = await client.ClientConnection.connect(
        host.machine.address("Outbound"), "test.ask", 1024 * 1024, 1.0
    )
    request = messages.Request(
        "GET",
        "/read/1",
        (
            ("host", fleets.HOST),
            ("request-id", f"request-{trio.current_time()}-{key}"),
            ("deadline-ms", "3000"),
            ("authorization", f"Bearer {key}"),
        ),
        b"",
    )
    try:
        response = await connection.exchange(request)
    finally:
        await connection.close()
    return response.status, response.header("sassafras-outcome")


async def test_what_the_store_lost_does_not_come_back(tmp_path):
    """Guards against a withdrawn key or a target that a copy brings back.

    Requests with a sound key are served all the while.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, tmp_path, "deploy/node.ini")
        responses = {_KEPT_KEY: set(), _WITHDRAWN_KEY: set()}

        async def ask(host, key):
            while True:
                responses[key].add(await _ask(host, key))
                await trio.sleep(0.1)

        try:
            await fleet.start(4)
            for host in fleet.hosts:

                async def serves(host=host):
                    return (await _ask(host, _KEPT_KEY))[0] == 200

                await waiting.until(serves, "requests are served")
            await trio.sleep(2.0)
            copy = fleet.store.copy()
            fleet.revoke("acme")
            (leaving,) = [
                host for host in fleet.hosts if host.machine.name == "machine-0"
            ]
            leaving.server.state = "draining"
            assert await leaving.server.send_heartbeat() == 200
            departed_at = trio.current_time()
            await trio.sleep(1.5)
            async with trio.open_nursery() as asking:
                for host in fleet.hosts:
                    asking.start_soon(ask, host, _WITHDRAWN_KEY)
                    asking.start_soon(ask, host, _KEPT_KEY)
                fleet.store.mode = store_standin.Mode.SILENT
                await trio.sleep(_AWAY_S)
                fleet.store.come_back(copy)
                fleet.store.mode = store_standin.Mode.NORMAL
                await trio.sleep(_REWRITE_S)
                fleet.rewrite_configuration()
                await trio.sleep(8.0)
                asking.cancel_scope.cancel()
            assert {status for status, _ in responses[_WITHDRAWN_KEY]} == {401}
            # A busy machine makes a node refuse for overload; no refusal may
            # come from a proof that is too old (`no-configuration`).
            assert (200, None) in responses[_KEPT_KEY]
            assert responses[_KEPT_KEY] <= {(200, None), _OVERLOAD}
            assert leaving.server.last_execution_at < departed_at + 2.0
            for host in fleet.hosts:
                assert '"event": 856' in host.node.log.read_text()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()
            nursery.cancel_scope.cancel()
