"""Fleets of mesh nodes with endpoints and a store, in one process."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import random

import trio

from common import waiting
from sassafras_base import clock as clocks
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh import supervisor
from sassafras_platform import announcements
from sassafras_platform import boot
from sassafras_platform import front_end
from sassafras_platform import store as platform_store
from sassafras_policy.admission import processor
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client
from sassafras_wire.settings import node as node_settings

HOST = "shop.example"
KEY = "key-of-acme"
SAFE = documents.RouteRow("safe", HOST, "/read/", "front")
UNSAFE = documents.RouteRow(
    "unsafe", HOST, "/write/", "front", route_type="unsafe"
)
OPEN = documents.RouteRow("open", HOST, "/open/", "front", is_public=True)
INNER = documents.RouteRow("inner", HOST, "/inner/", "back", is_public=True)
TENANT = documents.TenantRow("acme", (KEY,), rate_per_s=1000, burst=1000)
_BODY_LIMIT = 1024 * 1024


class _IdleProcessor(processor.ProcessorAdmission):
    """Takes the event loop for punctual."""

    def record_lag(self, lag_s: float, now: float) -> None:
        super().record_lag(0.0, now)


class Fleet:
    """Machines with their nodes and endpoints, and the store.

    Attributes:
      store: The store stand-in.
      store_address: Listening address of the store.
      machines: Machines by name.
      endpoints: Endpoints by the name of their machine.
      nodes: Runtimes of the nodes by the name of their machine.
      policy: Policies of the nodes that are started from now on.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        folder: pathlib.Path,
        more_bounds: tuple[str, ...] = (),
    ) -> None:
        self.store = store_standin.MetadataStore()
        self.store_address = launcher.free_address()
        self.machines: dict[str, machines.Machine] = {}
        self.endpoints: dict[str, endpoint.Endpoint] = {}
        self.nodes: dict[str, runtimes.Runtime] = {}
        self.policy = node_settings.PolicySection(
            admission="adaptive", limiter="pooled-share"
        )
        self._scopes: dict[str, trio.CancelScope] = {}
        self._ended: dict[str, trio.Event] = {}
        self._nursery = nursery
        self._folder = folder
        self._more_bounds = more_bounds
        self._numbers = 0

    async def add_machine(
        self, name: str, zone: str = "zone-a", service: str = "front", **changes
    ) -> machines.Machine:
        machine = machines.make_machine(
            name,
            zone,
            service,
            zones=("zone-a", "zone-b", "zone-far"),
            more_bounds=self._more_bounds,
        )
        self.machines[name] = machine
        await self.start_node(name)
        server = endpoint.Endpoint(machine.endpoint_settings(**changes))
        self.endpoints[name] = server
        await self._nursery.start(server.run)
        return machine

    async def start_node(self, name: str) -> None:
        """Starts the node of a machine, also after `kill_node`."""
        machine = self.machines[name]
        path = self._folder / f"{name}.json"
        path.write_bytes(machine.boot_file(self.store_address))
        settings = boot.load(
            path,
            self.policy,
        )
        platform = interfaces.Platform(
            store=platform_store.Store(self.store_address),
            front_end=front_end.FrontEnd(),
            codecs=announcements.Codecs(),
        )
        node = runtimes.Runtime(
            settings, platform, clocks.SystemClock(), random.Random(1)
        )
        # All nodes, endpoints and clients share one event loop here, so its lag
        # says nothing of a node. Beside load it made nodes refuse requests.
        node.processor = _IdleProcessor()
        self.nodes[name] = node
        self._scopes[name] = trio.CancelScope()
        self._ended[name] = trio.Event()
        await self._nursery.start(self._run, name, node)

    async def wait_until_ended(self, name: str) -> None:
        """Waits until a node has stopped or was killed."""
        await self._ended[name].wait()

    def kill_node(self, name: str) -> None:
        """Cancels a node without a planned stop, like a crash."""
        self._scopes[name].cancel()

    async def wait_until_settled(self) -> None:
        """Waits until every node has joined and has entries of all others."""

        def is_settled() -> bool:
            return all(
                node.is_fleet_loaded
                and len(node.fleet) == len(self.nodes) - 1
                and all(entry.service for entry in node.fleet.entries)
                and node.target.is_serving
                for node in self.nodes.values()
            )

        await _until(is_settled, "every node has entries of all others")

    def configure(
        self,
        version: int,
        routes: tuple[documents.RouteRow, ...] = (SAFE, UNSAFE, OPEN),
        tenants: tuple[documents.TenantRow, ...] = (TENANT,),
        services: tuple[documents.ServiceRow, ...] = (),
    ) -> None:
        self.store.put(
            "op/config",
            documents.configuration(version, routes, tenants, services),
        )

    async def wait_until_version(self, version: int) -> None:
        await _until(
            lambda: all(n.version == version for n in self.nodes.values()),
            f"version {version} everywhere",
        )

    async def send_request(
        self,
        name: str,
        path: str = "/read/1",
        method: str = "GET",
        key: str | None = KEY,
        request_id: str | None = None,
        deadline_ms: int = 5000,
        body: bytes = b"",
        **more: str,
    ) -> client.Response:
        """Sends a request through the node of a machine, as its client does."""
        self._numbers += 1
        headers = [
            ("host", HOST),
            ("request-id", request_id or f"request-{self._numbers}"),
            ("deadline-ms", str(deadline_ms)),
            *(
                (field.replace("_", "-"), value)
                for field, value in more.items()
            ),
        ]
        if key is not None:
            headers.append(("authorization", f"Bearer {key}"))
        address = self.machines[name].address("Outbound")
        connection = await client.ClientConnection.connect(
            address, "test.ask", _BODY_LIMIT, 1.0
        )
        try:
            return await connection.exchange(
                messages.Request(method, path, tuple(headers), body)
            )
        finally:
            await connection.close()

    def executions(self, request_id: str) -> int:
        """Returns the number of executions of a request at all endpoints."""
        return sum(
            e.executions.get(request_id, 0) for e in self.endpoints.values()
        )

    async def _run(
        self,
        name: str,
        node: runtimes.Runtime,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        ended = self._ended[name]
        with self._scopes[name]:
            await supervisor.run(node, task_status=task_status)
        ended.set()


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    *,
    version: int = 1,
    more_bounds: tuple[str, ...] = (),
    **options,
) -> AsyncIterator[Fleet]:
    """Runs a fleet without machines, and its store with a configuration."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, folder, more_bounds)
        await nursery.start(fleet.store.run, fleet.store_address)
        if version:
            fleet.configure(version, **options)
        try:
            yield fleet
        finally:
            nursery.cancel_scope.cancel()


async def _until(condition, description: str) -> None:
    async def check() -> bool:
        return condition()

    await waiting.until(check, description)
