"""Two nodes, their endpoints, a store and a client in one process."""

import dataclasses
import functools
import pathlib
import random
import tempfile

import trio
import trio.testing

from sassafras_base import clock as clocks
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh import supervisor
from sassafras_platform import announcements
from sassafras_platform import boot
from sassafras_platform import front_end
from sassafras_platform import store as platform_store
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import store as store_standin
from sassafras_standins.visits import counting
from sassafras_wire.http import client
from sassafras_wire.settings import node as node_settings

_HOST = "visits.example"
_KEY = "visits-key"
# The first node serves calls of `near` at its own endpoint and sends those of
# `far` to the second node.
FIRST = "first"
SECOND = "second"
_SERVICES = {FIRST: "near", SECOND: "far"}
_ROUTES = tuple(
    documents.RouteRow(service, _HOST, f"/{service}/", service)
    for service in _SERVICES.values()
)
_RATE_PER_S = 10_000.0
_BODY_LIMIT = 1024 * 1024
_CONNECT_TIMEOUT_S = 1.0
_SETTLE_TIMEOUT_S = 10.0
_POLL_S = 0.05
# Calls before the count, so that connections are open and caches are filled.
_WARM_CALLS = 5
_CALLS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One kind of call.

    Attributes:
      service: The service that is called.
      keeps_connection: Whether the client sends all calls on one connection.
    """

    service: str
    keeps_connection: bool

    @property
    def name(self) -> str:
        """Name of the case in reports."""
        kind = "kept" if self.keeps_connection else "new"
        return f"{self.service}-{kind}"


CASES = tuple(
    Case(service, keeps_connection)
    for service in _SERVICES.values()
    for keeps_connection in (True, False)
)


def count(case: Case) -> dict[str, counting.Counts]:
    """Returns what one call costs at each node that it visits."""
    clock = counting.PausableClock()
    counter = counting.Counter()
    return trio.run(
        _count, case, clock, counter, clock=clock, instruments=[counter]
    )


async def _count(
    case: Case, clock: counting.PausableClock, counter: counting.Counter
) -> dict[str, counting.Counts]:
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            nodes, address = await _start(nursery, pathlib.Path(folder))
            with trio.fail_after(_SETTLE_TIMEOUT_S):
                while not all(_is_settled(node) for node in nodes):
                    await trio.sleep(_POLL_S)
            send = functools.partial(_send, case, address)
            connection = await _connect(address)
            for _ in range(_WARM_CALLS):
                connection = await send(connection)
            clock.pause()
            # Lets the tasks that the clock has woken finish.
            await trio.testing.wait_all_tasks_blocked()
            counter.start()
            for _ in range(_CALLS):
                connection = await send(connection)
            await trio.testing.wait_all_tasks_blocked()
            counts = counter.stop()
            await connection.close()
            nursery.cancel_scope.cancel()
    return {
        name: counts[name].divided_by(_CALLS)
        for name in _SERVICES
        if name in counts and counts[name].steps >= _CALLS
    }


async def _connect(address: str) -> client.ClientConnection:
    return await client.ClientConnection.connect(
        address, "visits.call", _BODY_LIMIT, _CONNECT_TIMEOUT_S
    )


async def _send(
    case: Case, address: str, connection: client.ClientConnection
) -> client.ClientConnection:
    """Sends one call; returns the connection for the next one."""
    if not case.keeps_connection:
        await connection.close()
        connection = await _connect(address)
    response = await connection.exchange(
        messages.Request(
            "GET",
            f"/{case.service}/1",
            (
                ("host", _HOST),
                ("request-id", "v1"),
                ("deadline-ms", "3000"),
                ("authorization", f"Bearer {_KEY}"),
            ),
            b"",
        )
    )
    if response.status != 200:
        raise RuntimeError(f"a call ended with status {response.status}")
    return connection


async def _start(
    nursery: trio.Nursery, folder: pathlib.Path
) -> tuple[list[runtimes.Runtime], str]:
    """Starts all; returns the nodes and the first one's address for callers."""
    store = store_standin.MetadataStore()
    store_address = launcher.free_address()
    store.put(
        "op/config",
        documents.configuration(
            1,
            _ROUTES,
            (documents.TenantRow("visits", (_KEY,), _RATE_PER_S, _RATE_PER_S),),
        ),
    )
    await nursery.start(store.run, store_address)
    fleet = [
        machines.make_machine(name, "zone-a", service)
        for name, service in _SERVICES.items()
    ]
    nodes = []
    for machine in fleet:
        path = folder / f"{machine.name}.json"
        path.write_bytes(machine.boot_file(store_address))
        nodes.append(_make_node(path, store_address))
        await nursery.start(_run_node, machine.name, nodes[-1])
        server = endpoint.Endpoint(machine.endpoint_settings(work_s=0.0))
        await nursery.start(server.run)
    return nodes, fleet[0].address("Outbound")


def _make_node(path: pathlib.Path, store_address: str) -> runtimes.Runtime:
    return runtimes.Runtime(
        boot.load(
            path,
            node_settings.PolicySection(
                admission="adaptive", limiter="pooled-share"
            ),
        ),
        interfaces.Platform(
            store=platform_store.Store(store_address),
            front_end=front_end.FrontEnd(),
            codecs=announcements.Codecs(),
        ),
        clocks.SystemClock(),
        random.Random(1),
    )


async def _run_node(
    name: str,
    node: runtimes.Runtime,
    *,
    task_status: trio.TaskStatus[None],
) -> None:
    counting.owner.set(name)
    await supervisor.run(node, task_status=task_status)


def _is_settled(node: runtimes.Runtime) -> bool:
    return (
        node.version > 0
        and node.is_ready
        and node.target.is_serving
        and len(node.fleet) == 1
        and all(entry.service for entry in node.fleet.entries)
    )
