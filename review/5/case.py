"""The store turns one machine away, the owner of a tenant's pool of tokens."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

sys.path.insert(0, str(standins.REPOSITORY / "target/deps"))
from sassafras_base import hashing  # noqa: E402

TENANT = "bank"
RATE_PER_S = 100
BURST = 100
# Four times the rate: 6.4 times the usual traffic, as quotas are 1.6 times it.
DEMAND_PER_S = 400.0
OUTAGE_S = 9.0
NODES = 20
WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20
DEADLINE_MS = 2000


class Clients:
    """Clients of all machines, with kept connections."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = {}
        self.results = {}
        self.idle = {name: [] for name in fleet.machines}
        self.tasks = set()

    async def run(self):
        rng = random.Random(11)
        names = list(self.fleet.machines)
        number = 0
        due = time.monotonic()
        while True:
            due += rng.expovariate(DEMAND_PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            task = asyncio.ensure_future(
                self.ask(f"r{number}", rng.choice(names))
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def ask(self, request_id, name):
        record = self.fleet.record
        connection = None
        while self.idle[name] and connection is None:
            connection = self.idle[name].pop()
            if connection.is_ended:
                connection = None
        try:
            if connection is None:
                connection = await standins.Connection.open(
                    self.fleet.machines[name].outbound
                )
            self.sent[request_id] = record.now()
            record.add("sent", request_id, "at", name)
            response = await asyncio.wait_for(
                connection.send(
                    standins.request(
                        "GET",
                        "/read/1",
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
                self.idle[name].append(connection)
        except (standins.Closed, OSError, TimeoutError) as error:
            result = type(error).__name__
        self.results[request_id] = result
        record.add("ended", request_id, result)


async def play(fleet, has_trouble):
    record = fleet.record
    names = [f"desk-{number}" for number in range(1, NODES + 1)]
    for number, name in enumerate(names):
        await fleet.add(name, f"zone-{'ab'[number % 2]}", "desk")
    fleet.store.put(
        "op/config",
        standins.configuration(
            1,
            [("read", "/read/", "desk", "safe", 2000)],
            [(TENANT, ["key-of-bank"], RATE_PER_S, BURST)],
        ),
    )
    endpoints = [
        standins.Endpoint(machine, record, work_s=0.02, slots=100)
        for machine in fleet.machines.values()
    ]
    for endpoint in endpoints:
        await endpoint.start()
    for name in names:
        await fleet.start_node(name)
    await fleet.wait_ready(names)
    await asyncio.sleep(8.0)
    clients = Clients(fleet)
    sending = asyncio.ensure_future(clients.run())
    await asyncio.sleep(8.0)
    owner = hashing.rendezvous(TENANT, names, 1)[0]
    # The outage begins shortly before the node's lease is renewed.
    link = fleet.links[owner]
    while time.monotonic() - link.renewed_at < 1.8:
        await asyncio.sleep(0.01)
    started = record.now()
    if has_trouble:
        link.is_cut = True
        record.say(f"the store turns {owner} away, the owner of the pool")
    await asyncio.sleep(OUTAGE_S)
    link.is_cut = False
    record.say("the store serves it again")
    await asyncio.sleep(5.0)
    sending.cancel()
    await asyncio.sleep(0.5)
    runs = sorted(
        (run[0], run[1]) for endpoint in endpoints for run in endpoint.runs
    )
    answered = sum(r == "200" for r in clients.results.values())
    record.say(f"{len(clients.sent)} sent, {answered} answered with 200")
    if answered < 1000:
        raise standins.CannotRun("hardly anything was served")
    limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    worst, worst_at = 0, 0.0
    violations = []
    first = 0
    for last, (at, request_id) in enumerate(runs):
        while runs[first][0] < at - WINDOW_S:
            first += 1
        count = sum(
            clients.sent[r] >= at - WINDOW_S for _, r in runs[first : last + 1]
        )
        if count > worst:
            worst, worst_at = count, at
        if count > limit:
            violations.append(
                f"QUOTA {count} requests of {TENANT} run in the"
                f" {WINDOW_S:.0f} s before {at - started:.2f} s after the"
                f" outage began; at most {limit:.0f} are allowed"
            )
    record.say(
        f"most in {WINDOW_S:.0f} s: {worst}, {worst_at - started:.2f} s after"
        f" the outage began; allowed {limit:.0f}"
    )
    return violations[:: max(1, len(violations) // 10)]


standins.main(FOLDER, play)
