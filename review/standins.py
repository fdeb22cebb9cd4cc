"""Stand-ins of the platform for the cases of this folder.

The store, the endpoints and the clients follow the platform's PROTOCOL.md; the
nodes are the project's own program, started as deploy/system.toml says.
Only the standard library is used.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib import parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.5
GRACE_S = 6.0
TIME_LIMIT_S = 115.0
BOUNDS = {
    "SeedLagS": "3",
    "ReuseAfterS": "2",
    "ContactMs": "3000",
    "AckTimeoutMs": "4000",
    "CatchUpS": "4",
    "DrainMs": "2000",
    "GraceS": "6",
    "LossSlackMs": "200",
    "ConfigApplyMs": "2000",
    "RollbackSlackMs": "250",
    "MaxSkewMs": "5000",
    "RevokeWhenPartitioned": "true",
    "RevokeMs": "5000",
    "RetryBudgetRatio": "0.2",
    "BudgetWindowS": "10",
    "BudgetExtra": "48",
    "QuotaWindowS": "5",
    "QuotaOver": "0.1",
    "QuotaSlack": "20",
    "RecoverS": "15",
}


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, *words):
        line = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {line}\n")

    def say(self, *words):
        """Writes a line to the record and to standard output."""
        self.add(*words)
        print(f"{self.now():8.3f}", *words, flush=True)

    def close(self):
        self._file.close()


class Closed(Exception):
    """The other side has closed or reset the connection."""


@dataclasses.dataclass
class Message:
    """A request or a response; `line` is its first line."""

    line: str
    headers: dict
    body: bytes

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_message(reader):
    """Returns the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Closed("the head is not complete") from None
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Closed(repr(error)) from None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (OSError, asyncio.IncompleteReadError) as error:
        raise Closed(repr(error)) from None
    return Message(first, headers, body)


def encode(line, headers, body=b""):
    """Returns a message with a content length."""
    lines = [line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def abort(writer):
    """Closes a connection at once."""
    try:
        writer.transport.abort()
    except (OSError, RuntimeError):
        pass


class StoreLink:
    """The way of one machine to the store; a cut one passes nothing on.

    Requests that arrive during a cut, or whose answer falls into one, are lost.
    """

    def __init__(self, name):
        self.name = name
        self.is_cut = False
        # When the machine renewed its lease last.
        self.renewed_at = 0.0


class Store:
    """The platform's metadata store (kv), with a listener for each machine."""

    def __init__(self, record):
        self.record = record
        self.is_down = False
        # The machine that watched the configuration last.
        self.config_reader = ""
        self._revision = 10
        self._items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 70000
        self._changed = asyncio.Event()
        self._tasks = []

    async def listen(self, name, host):
        """Returns the address of a machine's listener and its link."""
        link = StoreLink(name)

        async def serve(reader, writer):
            try:
                await self._serve(reader, writer, link)
            except (Closed, OSError):
                pass
            finally:
                abort(writer)

        port = free_port(host)
        server = await asyncio.start_server(
            serve, host, port, limit=8 * 1024 * 1024
        )
        self._tasks.append(server)
        return f"{host}:{port}", link

    def start(self):
        self._tasks.append(asyncio.ensure_future(self._expire()))

    def put(self, key, value):
        """Writes a key of the operator."""
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def keys(self, prefix):
        return sorted(key for key in self._items if key.startswith(prefix))

    def end_all_leases(self):
        """Ends all leases, as a store may do while it is down."""
        for lease in list(self._leases):
            del self._leases[lease]
            self._remove_of(lease)
        self._notify()

    async def _serve(self, reader, writer, link):
        while True:
            request = await read_message(reader)
            if request is None:
                return
            while self.is_down or link.is_cut:
                await asyncio.sleep(0.01)
                if not (self.is_down or link.is_cut):
                    return
            await asyncio.sleep(0.004)
            if "kv-watch?Prefix=op%2Fconfig" in request.line:
                self.config_reader = link.name
            if "kv-keep" in request.line:
                link.renewed_at = time.monotonic()
            status, content = await self._handle(request)
            if self.is_down or link.is_cut:
                # The answer is lost; the connection says nothing more.
                while self.is_down or link.is_cut:
                    await asyncio.sleep(0.01)
                return
            writer.write(
                encode(
                    f"HTTP/1.1 {status} X",
                    [("Content-Type", "application/json")],
                    json.dumps(content).encode(),
                )
            )
            await writer.drain()

    async def _handle(self, request):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        query = dict(parse.parse_qsl(query))
        name, _, lease = path.removeprefix("/sassafrasmount/").partition("/")
        if name == "kv-key":
            item = self._items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self._revision}
            return 200, item | {"CurrentRev": self._revision}
        if name == "kv-range":
            rows = [self._items[key] for key in self.keys(query["Prefix"])]
            return 200, {
                "items": rows,
                "MorePages": False,
                "CurrentRev": self._revision,
            }
        if name == "kv-watch":
            return await self._watch(
                query["Prefix"], int(query["after"]), int(query["WaitMs"])
            )
        if name == "kv-txn":
            return self._transaction(json.loads(request.body))
        if name == "kv-lease":
            ttl_ms = json.loads(request.body)["TtlMs"]
            self._next_lease += 1
            self._leases[self._next_lease] = [
                ttl_ms / 1000,
                time.monotonic() + ttl_ms / 1000,
            ]
            return 200, {"Lease": self._next_lease, "TtlMs": ttl_ms}
        if name == "kv-keep":
            found = self._leases.get(int(lease))
            if found is None:
                return 404, {}
            found[1] = time.monotonic() + found[0]
            return 200, {"TtlMs": int(found[0] * 1000)}
        if name == "kv-lease-end" and method == "DELETE":
            if self._leases.pop(int(lease), None) is None:
                return 404, {}
            self._remove_of(int(lease))
            self._notify()
            return 200, {}
        return 404, {}

    async def _watch(self, prefix, after, wait_ms):
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["Revision"] > after
                and event["Key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transaction(self, content):
        expected = content.get("ExpectedRevision", [])
        writes = content.get("Writes", [])
        removed = content.get("Remove", [])
        for row in expected:
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {
                    "items": [
                        self._items[r["Key"]]
                        for r in expected
                        if r["Key"] in self._items
                    ]
                }
        for write in writes:
            if write.get("Lease", 0) and write["Lease"] not in self._leases:
                return 404, {}
        for write in writes:
            self._write(write["Key"], write["Value"], write.get("Lease", 0))
        for key in removed:
            self._remove(key)
        self._notify()
        return 200, {"Revision": self._revision}

    def _write(self, key, value, lease):
        self._revision += 1
        previous = self._items.get(key)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self._revision,
            "Created": previous["Created"] if previous else self._revision,
            "Lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append(
                {"Key": key, "Revision": self._revision, "Removed": True}
            )

    def _remove_of(self, lease):
        for key, item in list(self._items.items()):
            if item["Lease"] == lease:
                self._remove(key)

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [n for n, row in self._leases.items() if row[1] <= now]
            for lease in ended:
                del self._leases[lease]
                self._remove_of(lease)
            if ended:
                self._notify()


class Endpoint:
    """A sound endpoint with slots and heartbeats."""

    def __init__(self, machine, record, *, work_s, slots=36, body=b"ok" * 50):
        self.machine = machine
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.body = body
        self.target_id = f"i-{os.urandom(5).hex()}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self.is_heartbeating = True
        self._sequence = 0
        self._running = 0
        self._tasks = []

    async def start(self):
        host, port = split(self.machine.app)
        self._tasks = [
            await asyncio.start_server(self._serve, host, port),
            asyncio.ensure_future(self._heartbeats()),
        ]

    def heartbeat(self):
        """Returns a heartbeat with the present state, as bytes to send."""
        self._sequence += 1
        return encode(
            f"POST /sassafrasmount/instances/{self.target_id}/heartbeat"
            " HTTP/1.1",
            [("Host", "node"), ("Content-Type", "application/json")],
            json.dumps(
                {
                    "Service": self.machine.service,
                    "Address": self.machine.app,
                    "Zone": self.machine.zone,
                    "Version": "v1",
                    "Capacity": self.slots,
                    "State": self.state,
                    "ColdRemainingMs": 0,
                    "Sequence": self._sequence,
                    "born": self.born,
                }
            ).encode(),
        )

    def deregistration(self):
        """Returns the call that deregisters it, as bytes to send."""
        return encode(
            f"POST /sassafrasmount/instances/{self.target_id}/deregister"
            " HTTP/1.1",
            [("Host", "node"), ("Content-Type", "application/json")],
        )

    async def tell(self, data):
        """Sends bytes to the node's Control address; returns the status."""
        try:
            connection = await Connection.open(self.machine.control, 1.0)
            try:
                response = await asyncio.wait_for(connection.send(data), 1.0)
                return response.status
            finally:
                connection.close()
        except (OSError, Closed, TimeoutError):
            return None

    async def _heartbeats(self):
        while True:
            if self.is_heartbeating:
                await self.tell(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
        except (Closed, OSError):
            pass
        finally:
            abort(writer)

    async def answer(self, request, writer):
        request_id = request.headers.get("request-id")
        wanted = request.headers.get("target-instance")
        if request_id is None or wanted not in (None, self.target_id):
            writer.write(
                encode(
                    f"HTTP/1.1 {421 if request_id else 400} X",
                    [("Not-Executed", "1"), ("Request-Id", request_id or "")],
                )
            )
            return await writer.drain()
        if self._running >= self.slots:
            writer.write(
                encode(
                    "HTTP/1.1 503 X",
                    [("Not-Executed", "1"), ("Request-Id", request_id)],
                )
            )
            return await writer.drain()
        self._running += 1
        try:
            self.runs.append((self.record.now(), request_id, request))
            self.record.add("run", request_id, "at", self.machine.name)
            await self.work(request)
        finally:
            self._running -= 1
        await self.respond(request_id, writer)

    async def work(self, request):
        await asyncio.sleep(self.work_s)

    async def respond(self, request_id, writer):
        writer.write(
            encode(
                "HTTP/1.1 200 OK",
                [
                    ("Request-Id", request_id),
                    ("Response-Signature", f"{self.target_id}.{request_id}"),
                    ("Instance-Load", f"{self._running},0,{self.slots}"),
                ],
                self.body,
            )
        )
        await writer.drain()


class Connection:
    """A client's connection; one request at a time."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self.uses = 0
        self.is_open = True

    @classmethod
    async def open(cls, address, timeout_s=1.0):
        host, port = split(address)
        return cls(
            *await asyncio.wait_for(
                asyncio.open_connection(host, port), timeout_s
            )
        )

    @property
    def is_ended(self):
        """Whether the other side has ended the idle connection."""
        return not self.is_open or self._reader.at_eof()

    async def send(self, data):
        """Sends a request and returns the response; raises Closed."""
        self.uses += 1
        try:
            self._writer.write(data)
            await self._writer.drain()
            response = await read_message(self._reader)
        except OSError as error:
            self.close()
            raise Closed(repr(error)) from None
        if response is None:
            self.close()
            raise Closed("ended without an answer")
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self):
        self.is_open = False
        abort(self._writer)


def request(method, path, request_id, *, host, key, deadline_ms, body=b""):
    """Returns a client's request as bytes."""
    headers = [
        ("Host", host),
        ("Request-Id", request_id),
        ("Deadline-Ms", deadline_ms),
    ]
    if key:
        headers.append(("Authorization", f"Bearer {key}"))
    return encode(f"{method} {path} HTTP/1.1", headers, body)


@dataclasses.dataclass
class Machine:
    """One machine with its addresses."""

    name: str
    zone: str
    ip: str
    service: str
    outbound: str
    ready: str
    control: str
    app: str
    internal: int


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_range(ip, size):
    """Returns the first of consecutive free ports."""
    while True:
        first = free_port(ip)
        if first + size > 65000:
            continue
        try:
            for port in range(first, first + size):
                with socket.socket() as sock:
                    sock.bind((ip, port))
            return first
        except OSError:
            continue


def configuration(version, routes, tenants=(), max_body_bytes=1048576):
    """Returns the operator's configuration.

    Args:
      version: Number of the version.
      routes: Rows of name, prefix, service, kind, timeout in ms.
      tenants: Rows of name, keys, rate, burst.
      max_body_bytes: Largest body that a client may send.
    """
    content = {
        "Version": f"r{version}",
        "Routes": {
            "Columns": [
                "Name",
                "Host",
                "Prefix",
                "RouteType",
                "TimeoutMs",
                "TargetLatencyMs",
                "Priority",
                "MaxAttempts",
                "Service",
            ],
            "Rows": [
                [name, HOST, prefix, kind, timeout_ms, 1000, 0, 2, service]
                for name, prefix, service, kind, timeout_ms in routes
            ],
        },
        "Services": {
            "Columns": ["Name", "HealthCheckPath"],
            "Rows": [[s, "/health"] for s in sorted({r[2] for r in routes})],
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": max_body_bytes,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": {
            "Columns": ["Name", "ApiKeys", "RatePerS", "Burst"],
            "Rows": [list(row) for row in tenants],
        },
    }
    return json.dumps(content).encode()


HOST = "review.example"


class Fleet:
    """The machines of a case: store, nodes and their settings."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.machines = {}
        self.links = {}
        self.processes = {}
        self._started = []
        process = os.getpid()
        self._network = f"127.{100 + process % 100}.{process // 100 % 250}"

    async def add(self, name, zone, service, *, memory_mb=300):
        """Creates a machine and its settings file."""
        ip = f"{self._network}.{2 + len(self.machines)}"
        first = free_range(ip, 20)
        machine = Machine(
            name,
            zone,
            ip,
            service,
            f"{ip}:{first}",
            f"{ip}:{first + 1}",
            f"{ip}:{first + 2}",
            f"{ip}:{first + 3}",
            first + 4,
        )
        address, link = await self.store.listen(name, ip)
        self.machines[name] = machine
        self.links[name] = link
        settings = {
            "Node": name,
            "Role": "node",
            "MachineClass": "sidecar",
            "Serves": ["sidecar"],
            "Ip": ip,
            "Zone": zone,
            "Region": "region",
            "Zones": {zone: "region"},
            "ListenAddresses": {
                "Inbound": f"{ip}:{first + 19}",
                "Outbound": machine.outbound,
                "Ready": machine.ready,
                "Control": machine.control,
            },
            "InternalPorts": [machine.internal, machine.internal + 14],
            "Seeds": [],
            "Bootstrap": True,
            "InTolerance": False,
            "Limits": {
                "CpuShare": 0.86,
                "CpuCores": 2,
                "MemoryMb": memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "static",
            "Entry": "static",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "tenants", "quota"],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": [f"{n}={v}" for n, v in BOUNDS.items()],
            "AppAddress": machine.app,
            "Service": service,
            "Provider": {
                "Address": address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        return machine

    async def start_node(self, name):
        """Starts the node of a machine with the command of the deploy file."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text()
        )
        words = deploy["roles"]["node"]["run"].split()
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *words,
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "HOME": str(self.folder),
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SASSAFRASMOUNT_BOOT": str(self.folder / f"{name}.json"),
                },
                stdout=log,
                stderr=log,
            )
        self._started.append(self.processes[name])
        self.record.add("start node", name)

    def signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)
            self.record.add("signal", signal.Signals(number).name, name)

    async def kill(self, name):
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def is_ready(self, name):
        try:
            connection = await Connection.open(self.machines[name].ready, 1.0)
        except (OSError, TimeoutError):
            return False
        try:
            response = await asyncio.wait_for(
                connection.send(
                    encode(
                        "GET /sassafrasmount/ready HTTP/1.1",
                        [("Host", "node")],
                    )
                ),
                1.0,
            )
            return response.status == 200
        except (Closed, TimeoutError, OSError):
            return False
        finally:
            connection.close()

    async def wait_ready(self, names, timeout_s=30.0):
        ends_at = time.monotonic() + timeout_s
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > ends_at:
                    raise CannotRun(f"node {name} is not ready")
                await asyncio.sleep(0.1)
        self.record.add("ready", *names)

    def log_lines(self, name):
        """Returns the log of a node as dictionaries."""
        lines = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"text": line})
        return lines

    async def end(self):
        for process in self._started:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()


class CannotRun(Exception):
    """The case could not be played."""


def main(folder, play):
    """Plays a case and exits with 1 (broken), 0 (held) or 2 (cannot run).

    Args:
      folder: Folder of the case, for its record.
      play: Takes a fleet and whether the disruption is played; returns the
        violations of the rule as a list of texts.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, pathlib.Path(temporary))
            fleet.store.start()
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    return await play(fleet, has_trouble)
            finally:
                await fleet.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in pathlib.Path(temporary).glob("*.log"):
                        (pathlib.Path(keep) / path.name).write_bytes(
                            path.read_bytes()
                        )

    try:
        violations = asyncio.run(run())
    except Exception as error:
        record.say("the case could not run:", repr(error))
        end(record, 2)
    for violation in violations[:20]:
        record.say("BROKEN", violation)
    record.say(
        f"{len(violations)} violations"
        if violations
        else "the rule held"
    )
    end(record, 1 if violations else 0)


def end(record, code):
    """Exits at once; open connections of the event loop need no tidying."""
    record.close()
    sys.stdout.flush()
    os._exit(code)
