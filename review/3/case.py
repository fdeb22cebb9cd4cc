"""A late heartbeat arrives after its endpoint left and the node restarted."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
ORDERS_PER_S = 20.0
DEADLINE_MS = 2000
# How long the endpoint serves after it has deregistered.
SERVES_S = 10.0
# When the heartbeat arrives, after the deregistration that overtook it.
LATE_S = 2.5


async def send_orders(fleet, machine, results):
    rng = random.Random(3)
    tasks = set()
    number = 0

    async def ask(request_id):
        fleet.record.add("sent", request_id)
        try:
            connection = await standins.Connection.open(machine.outbound)
            try:
                response = await asyncio.wait_for(
                    connection.send(
                        standins.request(
                            "POST",
                            "/orders/1",
                            request_id,
                            host=standins.HOST,
                            key="key-of-bank",
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
        await asyncio.sleep(rng.expovariate(ORDERS_PER_S))
        number += 1
        task = asyncio.ensure_future(ask(f"order-{number}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def play(fleet, has_trouble):
    record = fleet.record
    names = ["web", "ledger-1", "ledger-2"]
    for name in names:
        await fleet.add(name, "zone-a", name.partition("-")[0])
    machines = fleet.machines
    fleet.store.put(
        "op/config",
        standins.configuration(
            1,
            [("orders", "/orders/", "ledger", "unsafe", 2000)],
            [("bank", ["key-of-bank"], 0, 0)],
        ),
    )
    endpoints = {
        name: standins.Endpoint(machines[name], record, work_s=0.1)
        for name in names
    }
    for endpoint in endpoints.values():
        await endpoint.start()
    for name in names:
        await fleet.start_node(name)
    await fleet.wait_ready(names)
    await asyncio.sleep(4.0)
    results = {}
    sending = asyncio.ensure_future(
        send_orders(fleet, machines["web"], results)
    )
    await asyncio.sleep(4.0)

    leaving = endpoints["ledger-1"]
    leaving.is_heartbeating = False
    await asyncio.sleep(0.2)
    # This heartbeat is on its way for seconds.
    late = leaving.heartbeat()
    await asyncio.sleep(0.2)
    status = await leaving.tell(leaving.deregistration())
    if status != 200:
        raise standins.CannotRun(f"deregistration got {status}")
    acknowledged_at = record.now()
    record.say(f"endpoint {leaving.target_id} deregistered: {status}")
    await asyncio.sleep(0.5)
    in_touch_from = acknowledged_at
    if has_trouble:
        record.say("SIGKILL to the node of its machine; it is started again")
        await fleet.kill("ledger-1")
        await asyncio.sleep(0.3)
        in_touch_from = record.now() + CONTACT_S
        await fleet.start_node("ledger-1")
        await fleet.wait_ready(["ledger-1"])
    await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - record.now()))
    status = await leaving.tell(late)
    record.say(
        f"the late heartbeat arrives {record.now() - acknowledged_at:.1f} s"
        f" after the deregistration and gets {status}"
    )
    await asyncio.sleep(
        max(0.0, acknowledged_at + SERVES_S - record.now())
    )
    sending.cancel()
    await asyncio.sleep(0.5)
    answered = sum(result == "200" for result in results.values())
    record.say(f"{len(results)} orders, {answered} answered with 200")
    if answered < len(results) / 4:
        raise standins.CannotRun("hardly anything was served")
    bound = max(acknowledged_at + DRAIN_S, in_touch_from)
    return [
        f"DRAIN {request_id} reached the endpoint {at - acknowledged_at:.2f} s"
        " after the acknowledgement of its leaving"
        for at, request_id, _ in leaving.runs
        if at > bound
    ]


standins.main(FOLDER, play)
