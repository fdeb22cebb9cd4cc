"""The nodes, stand-ins and proxies of one soak run."""

import dataclasses
import pathlib

import trio

from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import processes
from sassafras_standins.platform import store as store_standin
from sassafras_standins.soak import history as histories
from sassafras_standins.soak import proxy

HOST = "soak.example"
# Faults may withdraw the second key of an organisation.
KEYS = {"acme": ("key-of-acme", "old-key-of-acme"), "zeta": ("key-of-zeta",)}
_ROUTES = (
    documents.RouteRow("read", HOST, "/read/", "front"),
    documents.RouteRow("write", HOST, "/write/", "back", route_type="unsafe"),
    documents.RouteRow("inner", HOST, "/inner/", "back", is_public=True),
)
_SERVICES = ("front", "back")
_ZONES = 2
_WORK_S = 0.02


@dataclasses.dataclass(slots=True)
class Host:
    """One machine: its node, its endpoint and its proxy to the store."""

    machine: machines.Machine
    node: processes.NodeProcess
    server: endpoint.Endpoint
    store_link: proxy.Proxy
    server_scope: trio.CancelScope
    server_ended: trio.Event


class Fleet:
    """All machines of a run and their store.

    Attributes:
      store: The store stand-in.
      hosts: The machines.
      history: Requests that callers sent and endpoints executed.
      restarting: Names of machines whose node is being restarted.
    """

    def __init__(
        self, nursery: trio.Nursery, folder: pathlib.Path, settings: str
    ) -> None:
        """Creates a fleet without machines; `start` adds them.

        Args:
          nursery: Nursery in which the stand-ins run.
          folder: Folder for boot files and logs.
          settings: Path of the INI file that selects the policies.
        """
        self.store = store_standin.MetadataStore()
        self.hosts: list[Host] = []
        self.history = histories.History()
        self.restarting: set[str] = set()
        self._nursery = nursery
        self._folder = folder
        self._settings = settings
        self._version = 0
        self._document = b""
        self._keys = {name: list(keys) for name, keys in KEYS.items()}

    async def start(self, count: int) -> None:
        """Starts the store and all machines, and waits until they are ready."""
        address = launcher.free_address()
        await self._nursery.start(self.store.run, address)
        self.configure()
        for number in range(count):
            await self._add_machine(number, address)
        for host in self.hosts:
            await host.node.wait_until_ready()

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        tenants = tuple(
            documents.TenantRow(name, tuple(keys))
            for name, keys in self._keys.items()
        )
        self._document = documents.configuration(
            self._version, _ROUTES, tenants
        )
        self.rewrite_configuration()

    def rewrite_configuration(self) -> None:
        """Writes the newest configuration again, as operators do."""
        self.store.put("op/config", self._document)

    def revoke(self, organisation: str) -> None:
        """Withdraws the second key of an organisation, if it still has one."""
        keys = self._keys[organisation]
        if len(keys) > 1:
            key = keys.pop()
            self.configure()
            self.history.revoked[key] = trio.current_time()

    async def replace_server(self, host: Host, drain_s: float) -> None:
        """Drains the endpoint of a machine and starts a new instance."""
        server = host.server
        server.state = "draining"
        if await server.send_heartbeat() == 200:
            self.history.departures.append((server, trio.current_time()))
        await trio.sleep(drain_s)
        host.server_scope.cancel()
        await host.server_ended.wait()
        host.server = _make_server(host.machine)
        host.server_scope = trio.CancelScope()
        host.server_ended = trio.Event()
        await self._start_server(host)

    async def stop(self) -> None:
        """Stops all nodes."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(host.node.stop)

    async def _add_machine(self, number: int, store_address: str) -> None:
        machine = machines.make_machine(
            f"machine-{number}",
            f"zone-{number // len(_SERVICES) % _ZONES}",
            _SERVICES[number % len(_SERVICES)],
        )
        store_link = proxy.Proxy(store_address)
        await self._nursery.start(store_link.run)
        node = processes.NodeProcess(
            machine, self._folder, store_link.address, self._settings
        )
        node.start()
        host = Host(
            machine,
            node,
            _make_server(machine),
            store_link,
            trio.CancelScope(),
            trio.Event(),
        )
        self.hosts.append(host)
        await self._start_server(host)

    async def _start_server(self, host: Host) -> None:
        self.history.endpoints.append(host.server)
        await self._nursery.start(_run_server, host)


def _make_server(machine: machines.Machine) -> endpoint.Endpoint:
    return endpoint.Endpoint(machine.endpoint_settings(work_s=_WORK_S))


async def _run_server(
    host: Host, *, task_status: trio.TaskStatus[None]
) -> None:
    ended = host.server_ended
    try:
        with host.server_scope:
            await host.server.run(task_status=task_status)
    finally:
        ended.set()
