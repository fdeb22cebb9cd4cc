"""Stand-ins of a small deployment for the scripts of cases 11 to 15.

The store, the endpoints and the clients follow PROTOCOL.md and run in this one
process, with the standard library only. The nodes are the project's own: each
runs as a process of its own with the command of the deploy file, on a loopback
address of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import secrets
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
MEMORY_MB = 300
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


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes `record.txt`: one line for each thing sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def line(self, text, at=None):
        at = self.now() if at is None else at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)


async def read_message(reader):
    """Returns (first line, headers in lower case, body), or None at the end."""
    head = b""
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line == b"\r\n":
            if head:
                break
            continue
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
        return lines[0], headers, body
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} x\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def request(address, method, path, headers=(), body=b"", timeout_s=10.0):
    """Sends one request on a new connection; returns the answer or None."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = f"{method} {path} HTTP/1.1\r\n"
            for name, value in headers:
                text += f"{name}: {value}\r\n"
            text += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(text.encode() + body)
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def status_of(answer):
    return int(answer[0].split()[1]) if answer else 0


class Store:
    """The platform's metadata store.

    Each machine has an address of its own at it, so that the store can reject
    single machines. `renewed_at` holds when the lease of a machine was granted
    or renewed last, on the clock of the record.
    """

    def __init__(self, record):
        self._record = record
        self.rejected = set()
        self.renewed_at = {}
        self._items = {}
        self._history = []
        self._leases = {}
        self._revision = 1
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._is_closed = False

    def close(self):
        """Ends the watches."""
        self._is_closed = True
        self._wake()

    def put(self, key, value):
        self._write(key, base64.b64encode(value).decode(), 0)
        self._wake()

    def value(self, key):
        item = self._items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    def keys(self, prefix):
        return sorted(key for key in self._items if key.startswith(prefix))

    async def listen(self, machine):
        async def serve(reader, writer):
            try:
                while message := await read_message(reader):
                    if machine in self.rejected:
                        writer.write(response(503, (), b"{}"))
                        continue
                    writer.write(await self._answer(machine, *message))
            except (
                OSError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number, (_, ends_at, _) in list(self._leases.items()):
                if ends_at <= now:
                    self._end(number)

    async def _answer(self, machine, first, _, body):
        method, target, _ = first.split(" ", 2)
        path, _, query_text = target.partition("?")
        query = dict(parse.parse_qsl(query_text))
        name, _, number = path.removeprefix("/sassafrasmount/").partition("/")
        content = json.loads(body) if body else {}
        if name == "kv-key":
            item = self._items.get(query["Key"])
            return self._json(item or {}, 200 if item else 404)
        if name == "kv-range":
            keys = [
                key
                for key in self.keys(query["Prefix"])
                if key > query.get("after", "")
            ]
            items = [self._items[key] for key in keys[:500]]
            return self._json({"items": items, "MorePages": len(keys) > 500})
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transaction(content)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = content["TtlMs"] / 1000
            ends_at = time.monotonic() + ttl_s
            self._leases[self._next_lease] = (ttl_s, ends_at, machine)
            self._note_renewal(machine)
            return self._json(
                {"Lease": self._next_lease, "TtlMs": content["TtlMs"]}
            )
        lease = int(number)
        if lease not in self._leases:
            return self._json({}, 404)
        if name == "kv-keep":
            ttl_s, _, _ = self._leases[lease]
            ends_at = time.monotonic() + ttl_s
            self._leases[lease] = (ttl_s, ends_at, machine)
            self._note_renewal(machine)
            return self._json({"TtlMs": int(ttl_s * 1000)})
        self._end(lease)
        return self._json({})

    def _note_renewal(self, machine):
        self.renewed_at[machine] = self._record.now()

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["Revision"] > after
                and event["Key"].startswith(query["Prefix"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0 or self._is_closed:
                return self._json({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, content):
        for row in content.get("ExpectedRevision", []):
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return self._json({"items": [item] if item else []}, 412)
        for write in content.get("Writes", []):
            if write.get("Lease") and write["Lease"] not in self._leases:
                return self._json({}, 404)
        for write in content.get("Writes", []):
            self._write(write["Key"], write["Value"], write.get("Lease", 0))
        for key in content.get("Remove", []):
            self._remove(key)
        self._wake()
        return self._json({"Revision": self._revision})

    def _write(self, key, value, lease):
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            "Key": key,
            "Value": value,
            "Revision": self._revision,
            "Created": old["Created"] if old else self._revision,
            "Lease": lease,
        }
        self._history.append(self._items[key])

    def _remove(self, key):
        if self._items.pop(key, None):
            self._revision += 1
            self._history.append(
                {"Key": key, "Revision": self._revision, "Removed": True}
            )

    def _end(self, lease):
        _, _, machine = self._leases.pop(lease)
        for key, item in list(self._items.items()):
            if item["Lease"] == lease:
                self._record.line(f"store: lease of {machine} ended, {key}")
                self._remove(key)
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _json(self, content, status=200):
        content = {"CurrentRev": self._revision} | content
        return response(
            status,
            (("Content-Type", "application/json"),),
            json.dumps(content).encode(),
        )


class Endpoint:
    """An application endpoint with slots, a queue and heartbeats."""

    def __init__(self, record, machine, slots, work_s):
        self.record = record
        self.machine = machine
        self.slots = slots
        self.work_s = work_s
        self.id = "i-" + secrets.token_hex(4)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.beats = True
        self.arrivals = []
        self.finished = []
        self.running = 0
        self._slots = asyncio.Semaphore(slots)
        self._tasks = set()
        self._server = None

    async def start(self):
        host, _, port = self.machine.app_address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=256
        )
        asyncio.create_task(self._beat())

    async def exit(self):
        """Ends as a process does: all connections close."""
        self.beats = False
        self.record.say(
            f"{self.machine.name}: endpoint {self.id} exits,"
            f" {self.running} requests at work"
        )
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def heartbeat(self, state=None):
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.machine.service,
                "Address": self.machine.app_address,
                "Zone": self.machine.zone,
                "Version": "v1",
                "Capacity": self.slots,
                "State": state or self.state,
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def call(self, action, body):
        answer = await request(
            self.machine.control_address,
            "POST",
            f"/sassafrasmount/instances/{self.id}/{action}",
            (("Host", "control"), ("Content-Type", "application/json")),
            body,
            timeout_s=1.0,
        )
        return status_of(answer)

    async def announce(self, state):
        """Sends heartbeats with a state until one is acknowledged."""
        self.state = state
        while await self.call("heartbeat", self.heartbeat()) != 200:
            await asyncio.sleep(0.2)
        return self.record.now()

    async def deregister(self):
        self.beats = False
        body = json.dumps({"born": self.born}).encode()
        while await self.call("deregister", body) != 200:
            await asyncio.sleep(0.2)
        return self.record.now()

    async def _beat(self):
        while self.beats:
            await self.call("heartbeat", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while message := await read_message(reader):
                writer.write(await self._answer(*message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, first, headers, body):
        method, path, _ = first.split(" ", 2)
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return response(status, (("Instance-Id", self.id),))
        name = headers.get("request-id", "")
        reject = (("Not-Executed", "1"), ("Request-Id", name))
        if headers.get("target-instance", self.id) != self.id:
            return response(421, reject)
        deadline = time.monotonic() + int(headers["deadline-ms"]) / 1000
        self.arrivals.append((self.record.now(), name))
        self.record.line(
            f"{self.machine.name}: {self.id} got {name},"
            f" Tenant {headers.get('tenant', '-')}"
        )
        async with self._slots:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return response(503, reject)
            self.running += 1
            try:
                await asyncio.sleep(min(left_s, self.work_s))
            finally:
                self.running -= 1
        status = 200
        if self.work_s > left_s:
            # It has stopped; to undo what was begun takes a moment.
            status = 504
            await asyncio.sleep(0.05)
        self.finished.append(name)
        return response(
            status,
            (
                ("Request-Id", name),
                ("Response-Signature", f"{self.id}.{name}.{status}"),
                ("Instance-Load", f"{self.running},0,{self.slots}"),
            ),
            body or b"whole body",
        )


class Machine:
    """A `sidecar` machine: its addresses and its node process."""

    def __init__(self, name, number, zone, service, net):
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = f"127.{net}.1.{number}"
        self.outbound_address = f"{self.ip}:8548"
        self.ready_address = f"{self.ip}:8546"
        self.control_address = f"{self.ip}:8540"
        self.app_address = f"{self.ip}:8547"
        self.process = None
        self.started_at = 0.0

    def prepare(self, folder, store_address, zones):
        self._log = folder / f"{self.name}.log"
        self._boot = folder / f"{self.name}.json"
        self._boot.write_text(
            json.dumps(
                {
                    "Node": self.name,
                    "Role": "node",
                    "MachineClass": "sidecar",
                    "Serves": ["sidecar"],
                    "Ip": self.ip,
                    "Zone": self.zone,
                    "Region": "region",
                    "Zones": dict.fromkeys(zones, "region"),
                    "ListenAddresses": {
                        "Inbound": f"{self.ip}:8543",
                        "Outbound": self.outbound_address,
                        "Ready": self.ready_address,
                        "Control": self.control_address,
                    },
                    "InternalPorts": [7000, 7015],
                    "Seeds": [],
                    "Bootstrap": True,
                    "Limits": {"MemoryMb": MEMORY_MB, "MaxFds": 4100},
                    "DataDir": None,
                    "HeartbeatMs": int(HEARTBEAT_S * 1000),
                    "Bounds": [f"{k}={v}" for k, v in BOUNDS.items()],
                    "AppAddress": self.app_address,
                    "Service": self.service,
                    "Provider": {
                        "Address": store_address,
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

    def start(self, record):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SASSAFRASMOUNT_BOOT": str(self._boot),
                },
                stdout=log,
                stderr=log,
            )
        self.started_at = record.now()
        record.line(f"{self.name}: node process started")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self, record):
        self.process.kill()
        self.process.wait()
        record.say(f"{self.name}: node process killed")

    async def wait_until_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            answer = await request(
                self.ready_address,
                "GET",
                "/sassafrasmount/ready",
                (("Host", "ready"),),
                timeout_s=1.0,
            )
            if status_of(answer) == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready: {self.log_tail()}")

    def log_tail(self):
        return self._log.read_text()[-600:] if self._log.exists() else ""


def route(
    name, host, prefix, service, kind, priority, timeout_ms=8000, attempts=2
):
    return {
        "Name": name,
        "Host": host,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 1000,
        "Priority": priority,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": False,
    }


def configuration(version, routes, tenants=()):
    def table(rows):
        columns = list(rows[0])
        values = [[row[column] for column in columns] for row in rows]
        return {"Columns": columns, "Rows": values}

    services = sorted({row["Service"] for row in routes})
    content = {
        "Version": f"r{version}",
        "Routes": table(routes),
        "Services": table(
            [{"Name": n, "HealthCheckPath": "/health"} for n in services]
        ),
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
    if tenants:
        content["Tenants"] = table(list(tenants))
    return json.dumps(content).encode()


class Deployment:
    """Machines, endpoints and the store; ends all that it started."""

    def __init__(self, record, layout, document):
        """`layout` has (name, zone, service, slots, work_s) for each machine."""
        self.record = record
        self.store = Store(record)
        self.store.put("op/config", document)
        net = random.randrange(20, 250)
        self.machines = {}
        self.endpoints = {}
        for number, (name, zone, service, slots, work_s) in enumerate(layout, 1):
            machine = Machine(name, number, zone, service, net)
            self.machines[name] = machine
            self.endpoints[name] = Endpoint(record, machine, slots, work_s)

    async def start(self, folder):
        zones = sorted({m.zone for m in self.machines.values()})
        asyncio.create_task(self.store.expire())
        for machine in self.machines.values():
            address = await self.store.listen(machine.name)
            machine.prepare(folder, address, zones)
            machine.start(self.record)
        for endpoint in self.endpoints.values():
            await endpoint.start()
        for machine in self.machines.values():
            await machine.wait_until_ready(40.0)
        # All nodes are ready; the last heartbeats and entries spread.
        await asyncio.sleep(2 * HEARTBEAT_S)

    def end(self):
        self.store.close()
        for endpoint in self.endpoints.values():
            endpoint.beats = False
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()


class Client:
    """Sends requests at one machine and records their answers."""

    def __init__(self, record, machine, host, key=""):
        self._record = record
        self._machine = machine
        self._host = host
        self._key = key
        self._number = 0
        self.sent = {}
        self.answers = {}
        self.answered_at = {}
        # Requests whose answer doesn't come from an endpoint.
        self.own_answers = set()

    async def send(self, method, path, deadline_ms, body=b""):
        self._number += 1
        name = f"{self._machine.name}-{id(self) % 997}-{self._number}"
        headers = [
            ("Host", self._host),
            ("Request-Id", name),
            ("Deadline-Ms", str(deadline_ms)),
        ]
        if self._key:
            headers.append(("Authorization", f"Bearer {self._key}"))
        self.sent[name] = self._record.now()
        self._record.line(f"client sent {name} {method} {path}")
        answer = await request(
            self._machine.outbound_address,
            method,
            path,
            headers,
            body,
            timeout_s=deadline_ms / 1000 + 1,
        )
        status = status_of(answer)
        self.answers[name] = status
        signed = bool(answer) and "response-signature" in answer[1]
        self.answered_at[name] = self._record.now()
        if answer and not signed:
            self.own_answers.add(name)
        reason = answer[1].get("sassafras-outcome", "") if answer else ""
        self._record.line(
            f"client got {name} {status or 'no answer'}"
            f" {'signed' if signed else 'own'} {reason}"
        )
        return status

    async def press(self, per_s, until, method, path, deadline_ms, body=b""):
        """Sends requests at a steady rate, whatever their answers are."""
        tasks = []
        due = self._record.now()
        while (now := self._record.now()) < until:
            if now < due:
                await asyncio.sleep(due - now)
            due += 1 / per_s
            tasks.append(
                asyncio.create_task(self.send(method, path, deadline_ms, body))
            )
        await asyncio.gather(*tasks)


def run_case(folder, layout, document, play, is_trouble):
    """Runs a case and returns the exit code of its script.

    Args:
      folder: Folder of the case.
      layout: See `Deployment`.
      document: The configuration.
      play: Coroutine function of the deployment and of whether there is
        trouble; returns what broke the rule, or an empty text.
      is_trouble: Whether the case has its disruption.
    """
    record = Record(folder)

    async def main(path):
        deployment = Deployment(record, layout, document)
        try:
            await deployment.start(path)
            record.say("all machines are ready")
            return await play(deployment, is_trouble)
        finally:
            deployment.end()
            # The connections of the stand-ins end in the middle of a message.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    with tempfile.TemporaryDirectory() as path:
        try:
            broken = asyncio.run(
                asyncio.wait_for(main(pathlib.Path(path)), 110)
            )
        except Exception as error:
            # Exit code 1 is for a rule that was broken, and nothing else.
            record.say(f"cannot run: {error!r}")
            return 2
    record.say(f"RULE BROKEN: {broken}" if broken else "the rule held")
    return 1 if broken else 0
