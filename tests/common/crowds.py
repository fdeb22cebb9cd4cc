"""Node processes with lowered limits, and crowds of hostile clients."""

from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import socket

import trio

from common import waiting
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import processes
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client

HOST = "crowd.example"
KEY = "crowd-key"
ROUTES = (
    documents.RouteRow("front", HOST, "/front/", "front", timeout_ms=20_000),
    documents.RouteRow("back", HOST, "/back/", "back", timeout_ms=20_000),
)
# Ordinary requests ask for this much, a usual page.
ORDINARY_BYTES = 32 * 1024
_BODY_LIMIT = 64 * 1024 * 1024
# Clients announce windows this small, so that the kernel does not take over
# what a node should hold.
_RECEIVE_BUFFER = 4096
# Long enough for a slow machine; nothing is checked about the time taken.
_PATIENCE_S = 60.0
_ORDINARY_ATTEMPTS = 10
_KILOBYTE = 1024


class SizedEndpoint(endpoint.Endpoint):
    """Responds with as many bytes as the path asks for.

    Attributes:
      waiting: Requests for `held` paths that wait for `release`.
      release: Lets them end, all at once.
    """

    def __init__(self, settings: endpoint.EndpointSettings) -> None:
        super().__init__(settings)
        self.waiting = 0
        self.release = trio.Event()

    async def handle(self, request: messages.Request) -> messages.CallResponse:
        request_id = request.header("request-id") or ""
        _, kind, size = request.path.rsplit("/", 2)
        if kind == "held":
            self.waiting += 1
            await self.release.wait()
        return self._response(200, request_id, b"x" * int(size))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the settings file of a node allows it.

    Attributes:
      memory_mb: Memory limit.
      descriptors: Limit on open descriptors.
    """

    memory_mb: int = 300
    descriptors: int = 4100


class Site:
    """Machines with a node process and an endpoint each, and a store.

    Attributes:
      machines: Machines by service; one for each.
      endpoints: Their endpoints.
      nodes: Their node processes.
    """

    def __init__(self) -> None:
        self.machines: dict[str, machines.Machine] = {}
        self.endpoints: dict[str, SizedEndpoint] = {}
        self.nodes: dict[str, processes.NodeProcess] = {}
        self._numbers = 0

    def address(self, service: str, port: str) -> tuple[str, int]:
        """Returns an address of a node, `Call` and `Link` included."""
        machine = self.machines[service]
        if port in ("Call", "Link"):
            return machine.ip, machine.ports["Internal"] + (port == "Link")
        if port == "Metrics":
            return machine.ip, 9464
        return machine.ip, machine.ports[port]

    def request(self, path: str, *fields: str, method: str = "GET") -> bytes:
        """Returns the head of an ordinary request with further fields."""
        self._numbers += 1
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: crowd-{self._numbers}",
            "Deadline-Ms: 20000",
            f"Authorization: Bearer {KEY}",
            *fields,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def check_alive(self) -> None:
        """Fails if a node process has ended."""
        for node in self.nodes.values():
            assert _status_field(node.pid, "State") != "Z", node.log.read_text()

    def check_memory(self) -> None:
        """Fails if a node has ever been over its memory limit."""
        self.check_alive()
        for service, node in self.nodes.items():
            peak_mb = self.peak_memory_mb(service)
            limit_mb = node.machine.memory_mb
            print(f"{service}: peak {peak_mb:.1f} MB, limit {limit_mb} MB")
            assert peak_mb < limit_mb, service

    def check_descriptors(self) -> None:
        """Fails if a node has more descriptors open than it may."""
        self.check_alive()
        for service, node in self.nodes.items():
            count = self.open_descriptors(service)
            # The platform reserves 200 for files.
            limit = node.machine.descriptors - 200
            print(f"{service}: {count} descriptors, limit {limit}")
            assert count < limit, service

    def peak_memory_mb(self, service: str) -> float:
        """Returns the largest resident memory that a node has had."""
        value = _status_field(self.nodes[service].pid, "VmHWM")
        return int(value.split()[0]) / _KILOBYTE

    def open_descriptors(self, service: str) -> int:
        """Returns the number of open descriptors of a node."""
        return len(os.listdir(f"/proc/{self.nodes[service].pid}/fd"))

    async def ask(
        self, at: str, path: str, method: str = "GET", body: bytes = b""
    ) -> client.Response:
        """Sends one request as an ordinary client does, without repeating."""
        self._numbers += 1
        connection = await client.ClientConnection.connect(
            self.machines[at].address("Outbound"),
            "test.ask",
            _BODY_LIMIT,
            _PATIENCE_S,
        )
        fields = (
            ("host", HOST),
            ("request-id", f"ordinary-{self._numbers}"),
            ("deadline-ms", "20000"),
            ("authorization", f"Bearer {KEY}"),
        )
        try:
            with trio.fail_after(_PATIENCE_S):
                return await connection.exchange(
                    messages.Request(method, path, fields, body)
                )
        finally:
            await connection.close()

    async def is_ready(self, service: str) -> bool:
        """Returns whether a node responds to the check of the platform."""
        response = await self._get(service, "Ready", "/sassafrasmount/ready")
        return response.status == 200

    async def metric(self, service: str, name: str) -> float:
        """Returns a metric without labels of a node."""
        response = await self._get(service, "Metrics", "/metrics")
        prefix = f"sassafras_{name} "
        for line in response.body.decode().splitlines():
            if line.startswith(prefix):
                return float(line.removeprefix(prefix))
        raise AssertionError(f"no metric {name}")

    async def _get(self, service: str, port: str, path: str) -> client.Response:
        host, number = self.address(service, port)
        connection = await client.ClientConnection.connect(
            f"{host}:{number}", "test.check", _BODY_LIMIT, _PATIENCE_S
        )
        try:
            with trio.fail_after(_PATIENCE_S):
                return await connection.exchange(
                    messages.Request("GET", path, (), b"")
                )
        finally:
            await connection.close()

    async def check_ordinary(self, at: str, service: str) -> None:
        """Fails unless an ordinary request is answered with all its bytes.

        The client returns when a refusal tells it to, as the pages promise.
        """
        for _ in range(_ORDINARY_ATTEMPTS):
            response = await self.ask(at, f"/{service}/now/{ORDINARY_BYTES}")
            if response.status not in (429, 503):
                break
            delay_s = float(response.header("retry-after") or "0")
            await trio.sleep(delay_s)
        assert response.status == 200, (response.status, response.headers)
        assert len(response.body) == ORDINARY_BYTES


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    *,
    idle_timeout_ms: int = 15_000,
    document_routes: int = 0,
    **limits: Limits,
):
    """Runs one machine for each service, with the limits of its node.

    Args:
      folder: Folder for the files of the nodes.
      idle_timeout_ms: Timeout of the configuration for idle clients.
      document_routes: Further routes, which make the document larger.
      **limits: Limits of the node beside each service.
    """
    unused = documents.RouteRow("unused", HOST, "/unused/", "unused")
    more = [
        dataclasses.replace(unused, name=f"unused-{n}", prefix=f"/unused/{n}/")
        for n in range(document_routes)
    ]
    site = Site()
    store = store_standin.MetadataStore()
    store_address = launcher.free_address()
    store.put(
        "op/config",
        documents.configuration(
            1,
            (*ROUTES, *more),
            (documents.TenantRow("crowd", (KEY,)),),
            idle_timeout_ms=idle_timeout_ms,
        ),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run, store_address)
        try:
            for service, limit in limits.items():
                machine = dataclasses.replace(
                    machines.make_machine(f"crowd-{service}", "zone", service),
                    memory_mb=limit.memory_mb,
                    descriptors=limit.descriptors,
                )
                site.machines[service] = machine
                node = processes.NodeProcess(
                    machine, folder, store_address, "deploy/node.ini"
                )
                site.nodes[service] = node
                node.start()
                site.endpoints[service] = SizedEndpoint(
                    machine.endpoint_settings(slots=400)
                )
            for node in site.nodes.values():
                await node.wait_until_ready()
            for server in site.endpoints.values():
                await nursery.start(server.run)
            await _wait_until_served(site)
            yield site
        finally:
            with trio.CancelScope(shield=True):
                for node in site.nodes.values():
                    await node.kill()
            nursery.cancel_scope.cancel()


async def _wait_until_served(site: Site) -> None:
    async def is_served() -> bool:
        responses = [
            await site.ask(at, f"/{service}/now/1")
            for at in site.machines
            for service in site.machines
        ]
        return all(response.status == 200 for response in responses)

    await waiting.until(is_served, "every node serves every service")


class Crowd:
    """Connections of hostile clients, open until the block ends."""

    def __init__(self) -> None:
        self.streams: list[trio.SocketStream] = []

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *details: object) -> None:
        for stream in self.streams:
            await trio.aclose_forcefully(stream)

    async def connect(
        self, address: tuple[str, int], count: int
    ) -> list[trio.SocketStream]:
        """Opens connections with small windows."""
        opened = []
        for _ in range(count):
            sock = trio.socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER
            )
            try:
                await sock.connect(address)
            except OSError:
                sock.close()
                continue
            opened.append(trio.SocketStream(sock))
        self.streams += opened
        return opened

    async def send_all(
        self,
        streams: list[trio.SocketStream],
        make: Callable[[], bytes],
        seconds: float = 5.0,
    ) -> None:
        """Sends on all connections at once; a refusal of a client is allowed.

        Args:
          streams: The connections.
          make: Returns what one of them sends.
          seconds: When clients that are not read from stop sending.
        """

        async def send(stream: trio.SocketStream) -> None:
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await stream.send_all(make())

        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(send, stream)


def _status_field(pid: int, name: str) -> str:
    """Returns a field of a process; `Z` for one that has ended."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        key, _, value = line.partition(":")
        if key == name:
            return value.strip()[:1] if name == "State" else value.strip()
    return "Z"
