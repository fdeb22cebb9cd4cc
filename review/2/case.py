"""A planned restart of the only node of a zone, whose clients stay."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

CLIENTS = 200
# Each client sends a request about this often, on its kept connection. Clients
# may reuse connections that were idle for four fifths of IdleTimeoutMs (12 s).
PAUSE_S = 8.0
WORK_S = 0.3
DEADLINE_MS = 6000
TERM_AT_S = 10.0
END_S = 18.0
# The rule excuses a request that was sent up to this long after the SIGTERM
# and at which the endpoint was still at work in the last sixth of GraceS.
EARLY_S = 3.0


class Readiness:
    """The platform's check, once a second, of the nodes of one zone.

    After two misses the clients of a machine get no new work, unless fewer than
    half of the zone's nodes are in.
    """

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.misses = dict.fromkeys(names, 0)

    async def run(self):
        while True:
            for name in self.misses:
                is_ready = await self.fleet.is_ready(name)
                self.misses[name] = 0 if is_ready else self.misses[name] + 1
                self.fleet.record.add("ready" if is_ready else "miss", name)
            await asyncio.sleep(1.0)

    def gives_work(self, name):
        nodes_in = sum(misses < 2 for misses in self.misses.values())
        if nodes_in < len(self.misses) / 2:
            return True
        return self.misses[name] < 2


class Clients:
    """Clients of one machine, each with one kept connection."""

    def __init__(self, fleet, machine, readiness):
        self.fleet = fleet
        self.machine = machine
        self.readiness = readiness
        self.sent = {}
        self.ended = {}

    async def run(self, number):
        record = self.fleet.record
        rng = random.Random(number)
        connection = None
        await asyncio.sleep(rng.random() * PAUSE_S)
        count = 0
        while True:
            if not self.readiness.gives_work(self.machine.name):
                await asyncio.sleep(0.1)
                continue
            count += 1
            request_id = f"{self.machine.name}-c{number}-{count}"
            is_kept = connection is not None and not connection.is_ended
            try:
                if not is_kept:
                    connection = await standins.Connection.open(
                        self.machine.outbound
                    )
                self.sent[request_id] = record.now()
                record.add("sent", request_id, "kept" if is_kept else "new")
                response = await asyncio.wait_for(
                    connection.send(
                        standins.request(
                            "POST",
                            "/orders/1",
                            request_id,
                            host=standins.HOST,
                            key="key-of-bank",
                            deadline_ms=DEADLINE_MS,
                            body=b"order",
                        )
                    ),
                    DEADLINE_MS / 1000,
                )
                result = str(response.status)
            except standins.Closed:
                result = "closed"
            except TimeoutError:
                result = "timeout"
            except OSError as error:
                result = f"not connected: {error!r}"
            self.ended[request_id] = (record.now(), result)
            record.add("ended", request_id, result)
            if result in ("closed", "timeout"):
                connection = None
            await asyncio.sleep(PAUSE_S * (0.9 + 0.2 * rng.random()))


async def restart(fleet, name):
    """Stops a node as the platform does, and starts it again."""
    fleet.signal(name, signal.SIGTERM)
    try:
        await asyncio.wait_for(fleet.processes[name].wait(), standins.GRACE_S)
    except TimeoutError:
        await fleet.kill(name)
    fleet.record.say(f"{name} has ended")
    await asyncio.sleep(0.2)
    await fleet.start_node(name)


async def play(fleet, has_trouble):
    record = fleet.record
    names = ["front", "ledger-1", "ledger-2"]
    await fleet.add("front", "zone-a", "front")
    await fleet.add("ledger-1", "zone-b", "ledger")
    await fleet.add("ledger-2", "zone-c", "ledger")
    fleet.store.put(
        "op/config",
        standins.configuration(
            1,
            [("orders", "/orders/", "ledger", "unsafe", 5000)],
            [("bank", ["key-of-bank"], 0, 0)],
        ),
    )
    endpoints = [
        standins.Endpoint(machine, record, work_s=WORK_S)
        for machine in fleet.machines.values()
    ]
    for endpoint in endpoints:
        await endpoint.start()
    for name in names:
        await fleet.start_node(name)
    await fleet.wait_ready(names)
    await asyncio.sleep(4.0)
    readiness = Readiness(fleet, ["front"])
    clients = Clients(fleet, fleet.machines["front"], readiness)
    tasks = [asyncio.ensure_future(readiness.run())]
    tasks += [
        asyncio.ensure_future(clients.run(number)) for number in range(CLIENTS)
    ]
    started = record.now()
    await asyncio.sleep(TERM_AT_S)
    term_at = record.now()
    if has_trouble:
        record.say("SIGTERM to front, the only node of its zone")
        tasks.append(asyncio.ensure_future(restart(fleet, "front")))
    await asyncio.sleep(max(0.0, started + END_S - record.now()))
    for task in tasks:
        task.cancel()
    runs = {run[1]: run[0] for e in endpoints for run in e.runs}
    sent = len(clients.sent)
    answered = sum(r == "200" for _, r in clients.ended.values())
    record.say(f"{sent} sent, {answered} answered with 200")
    if answered < sent / 4:
        raise standins.CannotRun("hardly anything was served")
    return list(lost(clients, runs, term_at))


def lost(clients, runs, term_at):
    """Yields the requests that were read, run and never answered."""
    for request_id, (ended_at, result) in clients.ended.items():
        sent_at = clients.sent.get(request_id)
        if result != "closed" or request_id not in runs or sent_at is None:
            continue
        after_s = sent_at - term_at
        if ended_at - term_at > standins.GRACE_S + 1.0:
            continue
        at_work_late = ended_at - term_at >= standins.GRACE_S * 5 / 6 - 0.05
        if after_s <= EARLY_S and at_work_late:
            continue
        yield (
            f"LOST {request_id}: sent {after_s:.3f} s after the SIGTERM, run"
            f" {runs[request_id] - term_at:.3f} s after it, connection closed"
            f" without an answer {ended_at - term_at:.3f} s after it"
        )


standins.main(FOLDER, play)
