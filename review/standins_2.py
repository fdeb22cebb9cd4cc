"""Stand-ins and helpers for the scripts of cases 6 to 10.

Everything but the nodes runs in the process of the script: the metadata store,
the endpoints and the clients, each on loopback addresses and the real clock.
The nodes are processes of their own, started with the command of the deploy
file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
HEARTBEAT_MS = 1500
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "RevokeWhenPartitioned": "true",
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtra": 48,
    "QuotaWindowS": 5,
    "QuotaOver": 0.1,
    "QuotaSlack": 20,
    "RecoverS": 15,
}
_MAX_HEAD = 64 * 1024


def deploy_command() -> list[str]:
    """Returns the command of the node in the deploy file."""
    import tomllib

    content = (REPOSITORY / "deploy/system.toml").read_bytes().decode()
    return tomllib.loads(content)["roles"]["node"]["run"].split()


class Record:
    """Writes `record.txt`: what was sent, answered and run, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def line(self, text: str) -> float:
        at = self.now()
        if self._file.closed:
            # A task of the script that was cancelled at its end.
            return at
        self._file.write(f"{at:8.3f} {text}\n")
        return at

    def close(self) -> None:
        self._file.close()


class Message:
    """A request or a response that was read."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [start, *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Sends a request on a new connection; None if no answer came."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_MAX_HEAD
            )
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class KeptConnection:
    """A client's connection that is kept open for several requests."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=_MAX_HEAD
        )

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Message | None:
        """Sends a request; None if no answer came."""
        assert self._reader is not None and self._writer is not None
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(
                    encode(f"{method} {path} HTTP/1.1", headers, body)
                )
                return await read_message(self._reader)
        except (OSError, TimeoutError):
            return None

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


class Server:
    """An HTTP/1.1 server with kept connections, one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=_MAX_HEAD, backlog=512
        )

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.close()

    async def handle(self, request: Message) -> bytes | None:
        """Returns the response; None closes the connection."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self.handle(request))
                response = await work
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            # Tasks are cancelled only at the end of the script.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The metadata store of PROTOCOL.md.

    All connections from loopback have the same source address, so each machine
    is given a port of its own, by which the store knows it.

    Attributes:
      is_down: Whether it answers nobody; its connections stay silent.
      rejected: Ports of machines that get a 503; the others are served.
    """

    def __init__(self, address: str, record: Record) -> None:
        super().__init__(address)
        self.is_down = False
        self.rejected: set[int] = set()
        self._listeners: list[asyncio.Server] = []
        self._record = record
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    async def listen(self, port: int) -> str:
        """Listens at one more port; returns its address."""
        host = self.address.rsplit(":", 1)[0]
        self._listeners.append(
            await asyncio.start_server(
                self._serve, host, port, limit=_MAX_HEAD, backlog=512
            )
        )
        return f"{host}:{port}"

    async def stop(self) -> None:
        for listener in self._listeners:
            listener.close()
        await super().stop()

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info("sockname")[1]
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self.is_down:
                    await asyncio.sleep(3600)
                if peer in self.rejected:
                    status, content = 503, {"Error": "rejected"}
                else:
                    status, content = await self._dispatch(request)
                    if self.is_down:
                        await asyncio.sleep(3600)
                    if peer in self.rejected:
                        status, content = 503, {"Error": "rejected"}
                writer.write(
                    encode(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json"},
                        json.dumps(content).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            # Tasks are cancelled only at the end of the script.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def lapse_all(self) -> None:
        """Lets all leases run out."""
        for number in list(self._leases):
            self._end(number)

    async def expire(self) -> None:
        """Ends leases at their time until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end(number)

    def lease_left_s(self, key: str) -> float:
        """Returns the time that is left of a key's lease; 0 for none."""
        lease = self._leases.get(self._items.get(key, {}).get("Lease", 0))
        return 0.0 if lease is None else lease[1] - time.monotonic()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self._revision += 1
        self._items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": self._items.get(key, {}).get("Created", self._revision),
            "Lease": lease,
        }
        self._note(self._items[key])

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(
                {"Key": key, "Revision": self._revision, "Removed": True}
            )

    def keys(self, prefix: str = "") -> list[str]:
        return sorted(k for k in self._items if k.startswith(prefix))

    def _note(self, event: dict) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end(self, number: int) -> None:
        self._leases.pop(number, None)
        for key, item in list(self._items.items()):
            if item["Lease"] == number:
                self._record.line(f"store: lease of {key} has run out")
                self.remove(key)

    async def _dispatch(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ")
        path, _, query_text = target.partition("?")
        from urllib import parse

        query = dict(parse.parse_qsl(query_text))
        name, _, argument = path.removeprefix("/sassafrasmount/").partition("/")
        if name == "kv-key":
            item = self._items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self._revision}
            return 200, item | {"CurrentRev": self._revision}
        if name == "kv-range":
            items = [
                self._items[key]
                for key in self.keys(query["Prefix"])
                if key > query.get("after", "")
            ]
            return 200, {
                "items": items,
                "MorePages": False,
                "CurrentRev": self._revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        content = json.loads(request.body or b"{}")
        if name == "kv-txn":
            return self._transact(content)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = content["TtlMs"] / 1000
            self._leases[self._next_lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"Lease": self._next_lease, "TtlMs": content["TtlMs"]}
        if name == "kv-keep":
            lease = self._leases.get(int(argument))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"TtlMs": int(lease[0] * 1000)}
        if name == "kv-lease-end":
            if int(argument) not in self._leases:
                return 404, {}
            self._end(int(argument))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["Revision"] > after
                and event["Key"].startswith(query["Prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _transact(self, content: dict) -> tuple[int, dict]:
        expected = content.get("ExpectedRevision", [])
        for row in expected:
            found = self._items.get(row["Key"], {}).get("Revision", 0)
            if found != row["Revision"]:
                items = [
                    self._items[r["Key"]]
                    for r in expected
                    if r["Key"] in self._items
                ]
                return 412, {"items": items}
        writes = content.get("Writes", [])
        if any(w.get("Lease") and w["Lease"] not in self._leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(
                write["Key"],
                base64.b64decode(write["Value"]),
                write.get("Lease", 0),
            )
        for key in content.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self._revision}


class Endpoint(Server):
    """An endpoint of PROTOCOL.md with slots, a queue and heartbeats.

    Attributes:
      runs: For each request that began to run: time, id and tenant.
      arrivals: For each request that was not turned away: time and id.
      state: What its heartbeats say.
    """

    def __init__(
        self,
        machine: "Machine",
        record: Record,
        slots: int,
        work_s: float,
        queue: int = 72,
    ) -> None:
        super().__init__(machine.address("App"))
        self.machine = machine
        self.id = f"i-{os.urandom(4).hex()}"
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self._record = record
        self._queue = queue
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._sequence = 0

    async def handle(self, request: Message) -> bytes | None:
        method, path, _ = request.start.split(" ")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return self._answer(status, "", {"Instance-Id": self.id})
        request_id = request.headers.get("request-id")
        if request_id is None:
            return self._answer(400, "", {"Not-Executed": "1"})
        if request.headers.get("target-instance", self.id) != self.id:
            return self._answer(421, request_id, {"Not-Executed": "1"})
        at = self._record.line(
            f"{self.machine.name}: request {request_id} arrives, tenant"
            f" {request.headers.get('tenant', '-')}, deadline"
            f" {request.headers.get('deadline-ms', '-')} ms"
        )
        deadline = time.monotonic() + (
            int(request.headers.get("deadline-ms", "30000")) / 1000
        )
        self.arrivals.append((at, request_id))
        if self._waiting >= self._queue:
            return self._answer(503, request_id, {"Not-Executed": "1"})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            if time.monotonic() >= deadline:
                return self._answer(503, request_id, {"Not-Executed": "1"})
            self.runs.append(
                (self._record.now(), request_id, request.headers.get("tenant", ""))
            )
            left_s = deadline - time.monotonic()
            await asyncio.sleep(min(self.work_s, left_s))
            status = 200 if self.work_s <= left_s else 504
        finally:
            self._running -= 1
            self._free.release()
        self._record.line(
            f"{self.machine.name}: request {request_id} has run: {status}"
        )
        signature = {"Response-Signature": f"{self.id}.{request_id}.{status}"}
        return self._answer(status, request_id, signature, b"the whole body")

    async def beat_forever(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def beat(self) -> float | None:
        """Sends one heartbeat; returns when it was acknowledged, if it was."""
        self._sequence += 1
        body = {
            "Service": self.machine.service,
            "Address": self.address,
            "Zone": self.machine.zone,
            "Version": "v1",
            "Capacity": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        return await self._tell("heartbeat", body)

    async def deregister(self) -> float | None:
        """Says that it leaves; returns when that was acknowledged."""
        return await self._tell("deregister", {"born": self.born})

    async def _tell(self, what: str, body: dict) -> float | None:
        answer = await call(
            self.machine.address("Control"),
            "POST",
            f"/sassafrasmount/instances/{self.id}/{what}",
            {"Host": "node", "Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        if answer is None or not 200 <= answer.status < 300:
            return None
        return self._record.now()

    def _answer(
        self,
        status: int,
        request_id: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> bytes:
        headers = dict(headers)
        if request_id:
            headers["Request-Id"] = request_id
        headers["Instance-Load"] = (
            f"{self._running},{self._waiting},{self.slots}"
        )
        headers["Keep-Alive"] = "timeout=10"
        if self.state != "ready":
            headers["Connection"] = "close"
        return encode(f"HTTP/1.1 {status} X", headers, body)


class Machine:
    """A machine with a loopback address of its own."""

    _ports = {"Outbound": 0, "Ready": 1, "Control": 2, "App": 3, "Inbound": 4}
    _first_port = 8540
    _internal = 7000

    def __init__(self, name: str, number: int, zone: str, service: str) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        pid = os.getpid()
        self.ip = f"127.{10 + pid % 200}.{pid // 200 % 250}.{10 + number}"
        self.store_port = 8600 + number

    def address(self, name: str) -> str:
        return f"{self.ip}:{self._first_port + self._ports[name]}"


class Node:
    """The node process of a machine, as the deploy file starts it."""

    def __init__(
        self,
        machine: Machine,
        zones: list[str],
        store: str,
        folder: pathlib.Path,
    ) -> None:
        self.machine = machine
        self._boot = folder / f"{machine.name}.json"
        self._log = folder / f"{machine.name}.log"
        self._process: subprocess.Popen | None = None
        self._boot.write_text(
            json.dumps(
                {
                    "Node": machine.name,
                    "Role": "node",
                    "MachineClass": "sidecar",
                    "Serves": ["sidecar"],
                    "Ip": machine.ip,
                    "Zone": machine.zone,
                    "Region": "region",
                    "Zones": {zone: "region" for zone in zones},
                    "ListenAddresses": {
                        name: machine.address(name)
                        for name in ("Inbound", "Outbound", "Ready", "Control")
                    },
                    "InternalPorts": [7000, 7015],
                    "Seeds": [],
                    "Bootstrap": True,
                    "InTolerance": False,
                    "Limits": {
                        "CpuShare": 0.86,
                        "CpuCores": 2,
                        "MemoryMb": 300,
                        "MaxFds": 4100,
                        "LinkMbps": 1000.0,
                        "DiskMb": 0,
                    },
                    "DataDir": None,
                    "Discovery": "static",
                    "Entry": "static",
                    "HeartbeatMs": HEARTBEAT_MS,
                    "Contracts": [
                        "base", "drain", "config", "cost", "retry", "recover",
                        "pressure", "tenants", "quota", "platform",
                    ],
                    "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
                    "Bounds": [f"{n}={v}" for n, v in BOUNDS.items()],
                    "AppAddress": machine.address("App"),
                    "Service": machine.service,
                    "Provider": {
                        "Address": store,
                        "form": "kv",
                        "WritesPerS": 400,
                        "ReadsPerS": 2000,
                        "HistoryS": 20,
                        "ValueBytes": 1048576,
                        "TtlMinMs": 1000,
                    },
                }
            )
        )

    def start(self) -> None:
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                deploy_command(),
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "."),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "SASSAFRASMOUNT_BOOT": str(self._boot),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()

    async def stop(self, grace_s: float) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time."""
        self.send(signal.SIGTERM)
        ends_at = time.monotonic() + grace_s
        while self.is_running and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        self.kill()

    def memory_mb(self) -> float:
        """Returns the resident memory in millions of bytes; 0 if it is gone."""
        if not self.is_running:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        answer = await call(
            self.machine.address("Ready"),
            "GET",
            "/sassafrasmount/ready",
            {"Host": "node"},
            timeout_s=1.0,
        )
        return answer is not None and answer.status == 200


def configuration(
    version: int,
    routes: list[dict],
    services: list[str],
    tenants: list[dict],
) -> bytes:
    """Returns the value of `op/config`."""

    def table(rows: list[dict]) -> dict:
        columns = list(dict.fromkeys(name for row in rows for name in row))
        return {
            "Columns": columns,
            "Rows": [[row.get(name) for name in columns] for row in rows],
        }

    return json.dumps(
        {
            "Version": f"r{version}",
            "Routes": table(routes),
            "Services": table(
                [
                    {
                        "Name": name,
                        "HealthCheckPath": "/health",
                        "MaxConnections": 316,
                        "Protocol": "h1",
                        "Tls": False,
                    }
                    for name in services
                ]
            ),
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": table(tenants),
        }
    ).encode()


class CannotRunError(Exception):
    """The case could not be set up."""


class Site:
    """A small deployment: a store, machines with nodes, and endpoints."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self.tasks: set[asyncio.Task] = set()
        pid = os.getpid()
        ip = f"127.{10 + pid % 200}.{pid // 200 % 250}.2"
        self.store = Store(f"{ip}:8545", self.record)

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(
        self,
        machines: list[Machine],
        document: bytes,
        slots: int,
        work_s: float,
        ready_within_s: float = 25.0,
    ) -> None:
        """Starts everything and waits until all nodes are ready."""
        self.machines = machines
        zones = sorted({machine.zone for machine in machines})
        await self.store.start()
        self.spawn(self.store.expire())
        self.store.put("op/config", document)
        self.nodes = [
            Node(
                machine,
                zones,
                await self.store.listen(machine.store_port),
                self.folder,
            )
            for machine in machines
        ]
        for node in self.nodes:
            node.start()
        self.endpoints = [
            Endpoint(machine, self.record, slots, work_s)
            for machine in machines
        ]
        for endpoint in self.endpoints:
            await endpoint.start()
            self.spawn(endpoint.beat_forever())
        await self.wait_ready(ready_within_s)

    async def wait_ready(self, within_s: float) -> None:
        ends_at = time.monotonic() + within_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > ends_at or not node.is_running:
                    raise CannotRunError(f"{node.machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def request(
        self,
        machine: Machine,
        request_id: str,
        path: str,
        key: str,
        deadline_ms: int,
        method: str = "POST",
    ) -> int:
        """Sends a client's request; returns the status, 0 for no answer."""
        self.record.line(f"client at {machine.name}: sends {request_id} {path}")
        answer = await call(
            machine.address("Outbound"),
            method,
            path,
            {
                "Host": HOST,
                "Request-Id": request_id,
                "Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {key}",
            },
            timeout_s=deadline_ms / 1000 + 0.5,
        )
        status = 0 if answer is None else answer.status
        self.record.line(f"client at {machine.name}: {request_id} gets {status}")
        return status

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            node.kill()
        for server in [*self.endpoints, self.store]:
            await server.stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def has_trouble() -> bool:
    """Whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, case: str) -> None:
    """Runs a case: exits with 1 if the rule broke, 0 if it held, else 2."""
    folder = pathlib.Path(case).resolve().parent

    async def run() -> int:
        site = Site(folder)
        try:
            async with asyncio.timeout(110):
                is_broken = await play(site)
            return 1 if is_broken else 0
        except (CannotRunError, TimeoutError, OSError) as error:
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await site.stop()

    def handle_end(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, handle_end)
    sys.exit(asyncio.run(run()))


