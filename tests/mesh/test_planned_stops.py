"""Requests that arrive at any moment of a planned stop.

A review found requests on kept connections that were passed on to an endpoint
late in the grace time and cut off at its end (LOST).
"""

import dataclasses

import pytest
import trio

from common import mesh_fleet
from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_wire.http import client

pytestmark = pytest.mark.loopback

_BACK = documents.RouteRow(
    "back", mesh_fleet.HOST, "/back/", "back", route_type="unsafe"
)
_LONG = documents.RouteRow(
    "long",
    mesh_fleet.HOST,
    "/long/",
    "front",
    route_type="unsafe",
    timeout_ms=20000,
)
_ROUTES = (_BACK, mesh_fleet.INNER, _LONG)
_CLOSED = "closed"
# Each connection is idle for longer than a stop takes, so that requests arrive
# at every moment of it on connections that were open before.
_CLIENTS = 200
_PAUSE_S = 5.0


class _Client:
    """Sends unsafe requests on one connection, which it keeps open."""

    def __init__(self, fleet, machine, name):
        self._fleet = fleet
        self._address = machine.address("Outbound")
        self._name = name
        self._connection = None
        self.results = {}

    async def send(self, path="/back/1", deadline_ms=1500):
        """Returns the status, `closed` or None if no connection opened."""
        request_id = f"{self._name}-{len(self.results)}"
        if self._connection is None or not self._connection.is_reusable:
            try:
                self._connection = await client.ClientConnection.connect(
                    self._address, "test.ask", 1024, 1.0
                )
            except errors.UnreachableError:
                return None
        request = messages.Request(
            "POST",
            path,
            (
                ("host", mesh_fleet.HOST),
                ("request-id", request_id),
                ("deadline-ms", str(deadline_ms)),
                ("authorization", f"Bearer {mesh_fleet.KEY}"),
            ),
            b"order",
        )
        self.results[request_id] = _CLOSED
        try:
            response = await self._connection.exchange(request)
            self.results[request_id] = response.status
        except errors.SassafrasError:
            self._connection = None
        return self.results[request_id]

    async def repeat(self, delay_s, pause_s=_PAUSE_S):
        await trio.sleep(delay_s)
        while True:
            await self.send()
            await trio.sleep(pause_s)


def _set_grace(fleet, name, grace_s):
    node = fleet.nodes[name]
    node.settings = dataclasses.replace(
        node.settings,
        bounds=dataclasses.replace(node.settings.bounds, grace_s=grace_s),
    )


async def _stop(fleet, name):
    """Stops a node as planned and waits for its end."""
    fleet.nodes[name].drain.requested.set()
    with trio.fail_after(20):
        await fleet.wait_until_ended(name)


@pytest.mark.parametrize("grace_s", [6.0, 4.2])
async def test_a_planned_stop_cuts_off_no_request_at_any_moment(
    tmp_path, grace_s
):
    """Guards against requests that are run and cut off by a stop (LOST).

    The clients stay, as those of the only node of a zone do.
    """
    clients = []
    async with mesh_fleet.running(tmp_path, routes=_ROUTES) as fleet:
        machine = await fleet.add_machine("one")
        await fleet.add_machine("two", service="back", work_s=0.3, slots=500)
        await fleet.wait_until_settled()
        _set_grace(fleet, "one", grace_s)
        async with trio.open_nursery() as nursery:
            for number in range(_CLIENTS):
                member = _Client(fleet, machine, f"c{number}")
                clients.append(member)
                delay_s = _PAUSE_S * number / _CLIENTS
                nursery.start_soon(member.repeat, delay_s)
            await trio.sleep(_PAUSE_S)
            await _stop(fleet, "one")
            nursery.cancel_scope.cancel()
        results = {
            request_id: result
            for member in clients
            for request_id, result in member.results.items()
        }
        run = {i for i in results if fleet.executions(i)}
    lost = {i for i in run if results[i] == _CLOSED}
    assert lost == set()
    assert not [i for i in run if results[i] == 503]
    assert list(results.values()).count(200) > _CLIENTS


async def test_requests_left_at_the_end_of_the_grace_get_a_true_response(
    tmp_path,
):
    """Guards against long requests that a stop ends without an answer.

    One that runs is not said to have been refused, and one that waits for a
    slot is.
    """
    async with mesh_fleet.running(tmp_path, routes=_ROUTES) as fleet:
        machine = await fleet.add_machine("one", work_s=20.0, slots=1)
        await fleet.wait_until_settled()
        _set_grace(fleet, "one", 4.0)
        members = [_Client(fleet, machine, f"c{n}") for n in range(3)]
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(member.send, "/long/1", 15000)
            await trio.sleep(0.2)
            await _stop(fleet, "one")
        results = {k: v for m in members for k, v in m.results.items()}
        run = {i for i in results if fleet.executions(i)}
    assert run
    assert {results[i] for i in run} <= {502, 504}
    assert {results[i] for i in results.keys() - run} <= {503}


async def test_sub_calls_of_running_requests_pass_during_a_stop(tmp_path):
    """Guards against requests that fail as a stop refuses their sub-calls."""
    async with mesh_fleet.running(tmp_path, routes=_ROUTES) as fleet:
        machine = await fleet.add_machine(
            "one",
            work_s=2.9,
            sub_calls=(endpoint.SubCall(mesh_fleet.HOST, "/inner/1"),),
        )
        await fleet.add_machine("two", service="back")
        await fleet.wait_until_settled()
        member = _Client(fleet, machine, "c")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.send, "/long/1", 4500)
            await trio.sleep(0.1)
            await _stop(fleet, "one")
    assert list(member.results.values()) == [200]


async def test_calls_of_other_nodes_are_not_cut_off_in_a_stop(tmp_path):
    """Guards against calls of nodes that did not learn of a stop.

    On connections that were idle, they ran at the target until the end of the
    grace time cut them off, and their callers got a 502.
    """
    clients = []
    async with mesh_fleet.running(tmp_path, routes=_ROUTES) as fleet:
        machine = await fleet.add_machine("one", work_s=20.0)
        two = await fleet.add_machine(
            "two", service="back", work_s=0.3, slots=500
        )
        await fleet.wait_until_settled()
        async with trio.open_nursery() as nursery:
            for number in range(_CLIENTS):
                member = _Client(fleet, machine, f"c{number}")
                clients.append(member)
                nursery.start_soon(member.send)
            await trio.sleep(1.0)
            # The sender never learns that the node is leaving.
            fleet.nodes["one"].fleet.update = lambda entry: None
            # Keeps the node until the end of its grace time.
            long = _Client(fleet, two, "long")
            nursery.start_soon(long.send, "/long/1", 15000)
            for number, member in enumerate(clients):
                delay_s = _PAUSE_S * number / _CLIENTS
                nursery.start_soon(member.repeat, delay_s)
            await trio.sleep(0.1)
            await _stop(fleet, "two")
            nursery.cancel_scope.cancel()
        results = {k: v for m in clients for k, v in m.results.items()}
        run = {i for i in results if fleet.executions(i)}
    assert {results[i] for i in run} == {200}
    assert 503 in results.values()
