"""Connections that callers keep open: withdrawn keys and planned stops."""

import pytest
import trio

from common import nodes
from common import waiting
from sassafras_node.peers import handlers
from sassafras_node.store import writer
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.store import server as store_server
from sassafras_wire.http import client as http_client

pytestmark = pytest.mark.loopback

_REQUEST = messages.Request(
    "GET",
    "/desk/1",
    (("authorization", f"Bearer {samples.NATIONAL_KEY}"),),
    b"",
)


async def _open(host):
    return await http_client.ClientConnection.connect(
        host.settings.host.caller_address, "test", 10_000, 1.0
    )


async def test_a_withdrawn_key_stops_on_open_connections_of_all_nodes():
    """Guards against withdrawn keys that work until a connection is closed.

    One of the nodes has no link to the store.
    """
    store = store_server.StoreServer()
    address = launcher.free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.listen, address)
        async with nodes.fleet(3, store_address=address) as fleet:
            outcome = await writer.write(
                fleet.hosts[0].runtime, samples.document(), 0
            )
            assert outcome.is_ok()
            cut_off = nodes.make_host_like(
                fleet.hosts[0], store={"endpoints": (launcher.free_address(),)}
            )
            await fleet.start(cut_off)
            fleet.hosts.append(cut_off)
            connections = [await _open(host) for host in fleet.hosts]

            async def all_match(wanted):
                responses = [await c.exchange(_REQUEST) for c in connections]
                return all((a.status == 401) is wanted for a in responses)

            await waiting.until(lambda: all_match(False), "the key is accepted")
            outcome = await writer.write(
                fleet.hosts[1].runtime,
                samples.without_key(samples.document(), "national-bank"),
                1,
            )
            assert outcome.is_ok()
            with trio.fail_after(3.0):
                await waiting.until(
                    lambda: all_match(True), "the key is refused"
                )
            assert all(connection.is_reusable for connection in connections)
            for connection in connections:
                await connection.close()
        nursery.cancel_scope.cancel()


async def test_a_stopping_node_redirects_its_callers():
    """Guards against callers that stay on a connection until it is cut."""
    async with nodes.fleet(1) as fleet:
        host = fleet.hosts[0]
        handlers.activate_configuration(
            host.runtime, samples.document(), "test"
        )
        used, idle, late = [await _open(host) for _ in range(3)]
        host.stop()
        await trio.sleep(0.1)
        response = await used.exchange(_REQUEST)
        headers = dict(response.headers)
        assert response.status == 503
        assert headers["sassafras-outcome"] == "not-run; reason=leaving"
        assert headers["connection"] == "close"
        assert not used.is_reusable
        # The port for callers closes before the node exits, and connections
        # that are open still get an answer.
        await trio.sleep(1.1)
        with pytest.raises(Exception, match="cannot connect"):
            await _open(host)
        assert (await late.exchange(_REQUEST)).status == 503
        for connection in (used, idle, late):
            await connection.close()


async def test_a_stopping_node_waits_for_a_request_that_is_arriving():
    """Guards against a stop that cuts a caller who is still sending."""
    async with nodes.fleet(1) as fleet:
        host = fleet.hosts[0]
        handlers.activate_configuration(
            host.runtime, samples.document(), "test"
        )
        name, port = host.settings.host.caller_address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(name, int(port))
        await stream.send_all(
            b"POST /desk/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab"
        )
        await trio.sleep(0.1)
        host.stop()
        await trio.sleep(2.5)
        assert host.runtime.drain.in_flight == 1
        await stream.send_all(b"cd")
        with trio.fail_after(2.0):
            response = await stream.receive_some(1000)
        assert b" 503 " in response
        assert b"reason=leaving" in response
        await stream.aclose()
