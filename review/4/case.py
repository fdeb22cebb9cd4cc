"""An endpoint in trouble sends bodies without end, until the caller closes."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

MEMORY_MB = 300
# Share of the answers that are spoilt; half of the service's endpoints do so.
SPOILT_SHARE = 0.05
# What the endpoint sends of such a body, a tenth of the machine's link.
BODY_MB_PER_S = 12.5
DESK_WORK_S = 0.22
LEDGER_WORK_S = 0.29
DESK_PER_S = 60.0
ORDERS_PER_S = 30.0
TROUBLE_AT_S = 4.0
END_S = 24.0
DEADLINE_MS = 6000
TIMEOUT_MS = 5000
# More such requests than this break the rule.
ALLOWED = 3


class EndlessEndpoint(standins.Endpoint):
    """Runs requests; some of its answers have no end."""

    is_spoilt = False

    def __init__(self, *args, **arguments):
        super().__init__(*args, **arguments)
        self.rng = random.Random(5)
        self.spoilt = 0

    async def respond(self, request_id, writer):
        if not self.is_spoilt or self.rng.random() >= SPOILT_SHARE:
            return await super().respond(request_id, writer)
        self.spoilt += 1
        self.record.add("endless answer to", request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            + f"Request-Id: {request_id}\r\n\r\n".encode()
        )
        piece = b"\xa5" * int(BODY_MB_PER_S * 1e6 / 20)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.05)
        except OSError:
            raise standins.Closed("the caller has closed") from None


class Clients:
    """Clients of one machine, which share kept connections."""

    def __init__(self, fleet, machine, name, method, path, per_s):
        self.fleet = fleet
        self.machine = machine
        self.name = name
        self.call = method, path
        self.per_s = per_s
        self.idle = []
        self.kept = {}
        self.ended = {}
        self.tasks = set()

    async def run(self):
        rng = random.Random(self.name)
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(self.per_s))
            number += 1
            task = asyncio.ensure_future(self.ask(f"{self.name}-{number}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def ask(self, request_id):
        record = self.fleet.record
        method, path = self.call
        connection = None
        while self.idle and connection is None:
            connection = self.idle.pop()
            if connection.is_ended:
                connection = None
        is_kept = connection is not None
        try:
            if connection is None:
                connection = await standins.Connection.open(
                    self.machine.outbound
                )
            self.kept[request_id] = is_kept
            record.add("sent", request_id, "kept" if is_kept else "new")
            response = await asyncio.wait_for(
                connection.send(
                    standins.request(
                        method,
                        path,
                        request_id,
                        host=standins.HOST,
                        key="key-of-bank",
                        deadline_ms=DEADLINE_MS,
                    )
                ),
                DEADLINE_MS / 1000,
            )
            result = str(response.status)
            if connection.is_open:
                self.idle.append(connection)
        except standins.Closed:
            result = "closed"
        except TimeoutError:
            result = "timeout"
            connection.close() if connection else None
        except OSError as error:
            result = f"not connected: {error!r}"
        self.ended[request_id] = result
        record.add("ended", request_id, result)


async def watch_memory(fleet, name, ends):
    """Ends a process whose memory exceeds the limit, and starts it again."""
    largest = 0
    while True:
        await asyncio.sleep(0.02)
        process = fleet.processes[name]
        if process.returncode is not None:
            ends.append(f"ended by itself, code {process.returncode}")
            await asyncio.sleep(0.5)
            await fleet.start_node(name)
            continue
        used = resident_mb(process.pid)
        if used > largest + 20:
            largest = used
            fleet.record.add(f"memory of {name}: {used:.0f} MB")
        if used > MEMORY_MB:
            ends.append(f"{used:.0f} MB of {MEMORY_MB}")
            fleet.record.say(
                f"node {name} holds {used:.0f} MB, over its limit of"
                f" {MEMORY_MB} MB: the platform ends it"
            )
            fleet.signal(name, signal.SIGKILL)
            await process.wait()
            await asyncio.sleep(0.5)
            await fleet.start_node(name)
            largest = 0


def resident_mb(pid):
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def play(fleet, has_trouble):
    record = fleet.record
    names = ["desk-1", "desk-2", "ledger-1", "ledger-2"]
    for name in names:
        await fleet.add(
            name, "zone-a", name.partition("-")[0], memory_mb=MEMORY_MB
        )
    machines = fleet.machines
    fleet.store.put(
        "op/config",
        standins.configuration(
            1,
            [
                ("desk", "/desk/", "desk", "safe", TIMEOUT_MS),
                ("orders", "/orders/", "ledger", "unsafe", TIMEOUT_MS),
            ],
            [("bank", ["key-of-bank"], 0, 0)],
        ),
    )
    faulty = EndlessEndpoint(machines["desk-1"], record, work_s=DESK_WORK_S)
    sound = [
        standins.Endpoint(
            machines[name],
            record,
            work_s=DESK_WORK_S if name == "desk-2" else LEDGER_WORK_S,
        )
        for name in names[1:]
    ]
    for endpoint in (faulty, *sound):
        await endpoint.start()
    for name in names:
        await fleet.start_node(name)
    await fleet.wait_ready(names)
    await asyncio.sleep(4.0)
    desk = Clients(
        fleet, machines["desk-1"], "desk", "GET", "/desk/1", DESK_PER_S
    )
    orders = Clients(
        fleet, machines["desk-1"], "order", "POST", "/orders/1", ORDERS_PER_S
    )
    ends = []
    tasks = [
        asyncio.ensure_future(desk.run()),
        asyncio.ensure_future(orders.run()),
    ]
    watches = [
        asyncio.ensure_future(watch_memory(fleet, name, ends))
        for name in names
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    faulty.is_spoilt = has_trouble
    await asyncio.sleep(END_S - TROUBLE_AT_S)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(1.0)
    for task in watches:
        task.cancel()
    runs = {run[1] for e in sound for run in e.runs}
    lost = [
        request_id
        for request_id, result in orders.ended.items()
        if result == "closed" and orders.kept[request_id] and request_id in runs
    ]
    answered = sum(r == "200" for r in orders.ended.values())
    record.say(
        f"{len(orders.ended)} orders, {answered} answered with 200,"
        f" {len(faulty.runs)} runs at the faulty endpoint, {faulty.spoilt} of"
        f" its answers without end, {len(ends)} ends of processes"
    )
    if answered < len(orders.ended) / 4:
        raise standins.CannotRun("hardly anything was served")
    if len(lost) <= ALLOWED:
        return []
    return [
        f"LOST {request_id}: run by a sound endpoint, its kept connection was"
        " closed without an answer"
        for request_id in lost
    ]


standins.main(FOLDER, play)
