"""The node that reads the store is cut off from it while keys are withdrawn."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

CONFIG_APPLY_S = 2.0
# Time between two versions of the operator; each withdraws a key.
GAP_S = 0.1
KEYS_A_ROUND = 3
ROUNDS = 4
# Longer than ContactMs, so that the next round starts with all in touch.
CALM_S = 5.0
CUT_S = 5.5
NODES = 5
REQUEST_GAP_S = 0.05
DEADLINE_MS = 2000


async def send(fleet, machine, number, sent, results):
    """Sends requests with the key that is withdrawn last in a round."""
    tasks = set()
    count = 0

    async def ask(request_id):
        sent[request_id] = fleet.record.now()
        fleet.record.add("sent", request_id)
        try:
            connection = await standins.Connection.open(machine.outbound)
            try:
                response = await asyncio.wait_for(
                    connection.send(
                        standins.request(
                            "GET",
                            "/read/1",
                            request_id,
                            host=standins.HOST,
                            key=key_of(number, KEYS_A_ROUND),
                            deadline_ms=DEADLINE_MS,
                        )
                    ),
                    DEADLINE_MS / 1000,
                )
                result = str(response.status)
            finally:
                connection.close()
        except (standins.Closed, OSError, TimeoutError) as error:
            result = type(error).__name__
        results[request_id] = result
        fleet.record.add("ended", request_id, result)

    while True:
        await asyncio.sleep(REQUEST_GAP_S)
        count += 1
        task = asyncio.ensure_future(ask(f"{machine.name}-{number}-{count}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


def key_of(number, position):
    return f"key-{number}-{position}"


class Operator:
    """Writes configurations with the keys that are left."""

    def __init__(self, store):
        self.store = store
        self.version = 0
        self.keys = [
            key_of(number, position)
            for number in range(ROUNDS)
            for position in range(1, KEYS_A_ROUND + 1)
        ]

    def write(self):
        self.version += 1
        self.store.put(
            "op/config",
            standins.configuration(
                self.version,
                [("read", "/read/", "desk", "safe", 2000)],
                [("bank", ["key-of-bank", *self.keys], 0, 0)],
            ),
        )

    def withdraw(self, key):
        self.keys.remove(key)
        self.write()


async def play_round(fleet, operator, number, has_trouble, endpoints):
    """Withdraws three keys; the reader is cut off before the last one."""
    record = fleet.record
    sent, results = {}, {}
    tasks = [
        asyncio.ensure_future(send(fleet, machine, number, sent, results))
        for machine in fleet.machines.values()
    ]
    await asyncio.sleep(1.0)
    for position in range(1, KEYS_A_ROUND):
        operator.withdraw(key_of(number, position))
        record.say(f"r{operator.version}, without a key, is acknowledged")
        await asyncio.sleep(GAP_S)
    reader = fleet.store.config_reader
    if has_trouble:
        fleet.links[reader].is_cut = True
        record.say(f"{reader}, the reader, is cut off from the store")
    operator.withdraw(key_of(number, KEYS_A_ROUND))
    acknowledged_at = record.now()
    record.say(f"r{operator.version}, without the key, is acknowledged")
    await asyncio.sleep(CUT_S)
    fleet.links[reader].is_cut = False
    record.say("the cut has healed")
    for task in tasks:
        task.cancel()
    await asyncio.sleep(CALM_S)
    runs = {run[1] for endpoint in endpoints for run in endpoint.runs}
    before = [r for r, at in sent.items() if at < acknowledged_at]
    if sum(results.get(r) == "200" for r in before) < len(before) / 4:
        raise standins.CannotRun("hardly anything was served")
    last = max(sent[r] for r in sent if r in runs) - acknowledged_at
    record.say(f"last run of the key: sent {last:.2f} s after its withdrawal")
    return [
        f"CONFIG {request_id}, sent {at - acknowledged_at:.2f} s after the"
        " acknowledgement with the withdrawn key, was run"
        for request_id, at in sent.items()
        if at > acknowledged_at + CONFIG_APPLY_S
        and request_id in runs
        and not request_id.startswith(f"{reader}-")
    ]


async def play(fleet, has_trouble):
    record = fleet.record
    names = [f"desk-{number}" for number in range(1, NODES + 1)]
    for name in names:
        await fleet.add(name, "zone-a", "desk")
    operator = Operator(fleet.store)
    operator.write()
    endpoints = [
        standins.Endpoint(machine, record, work_s=0.02)
        for machine in fleet.machines.values()
    ]
    for endpoint in endpoints:
        await endpoint.start()
    for name in names:
        await fleet.start_node(name)
    await fleet.wait_ready(names)
    await asyncio.sleep(5.0)
    violations = []
    for number in range(ROUNDS):
        violations += await play_round(
            fleet, operator, number, has_trouble, endpoints
        )
    return violations


standins.main(FOLDER, play)
