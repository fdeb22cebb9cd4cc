"""Requests that wait for a slot reach an endpoint long after it has left."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

DRAIN_S = 2.0
# The endpoint stays a little longer than it has to, and then exits.
STAY_S = DRAIN_S + 1.5
# Requests of the largest site take up to 4.3 s.
WORK_S = 1.6
USUAL_PER_S = 6
# Many users come at once: the usual requests of 6 s.
BURST = 36

HOST = "ledger.example"
DOCUMENT = standins.configuration(
    1,
    [
        standins.route("post", HOST, "/post/", "ledger", "unsafe", 0),
        standins.route("look", HOST, "/look/", "desk", "safe", 2),
    ],
)
LAYOUT = [
    ("desk-1", "zone-a", "desk", 20, 0.1),
    ("ledger-1", "zone-a", "ledger", 8, WORK_S),
    ("ledger-2", "zone-b", "ledger", 8, WORK_S),
    ("desk-2", "zone-b", "desk", 20, 0.1),
]


async def play(deployment, is_trouble):
    record = deployment.record
    leaving = deployment.endpoints["ledger-1"]
    client = standins.Client(record, deployment.machines["desk-1"], HOST)
    pressing = asyncio.create_task(
        client.press(
            USUAL_PER_S, record.now() + 22, "POST", "/post/1", 6000, b"entry"
        )
    )
    await asyncio.sleep(12)
    burst = []
    if is_trouble:
        record.say(f"{BURST} requests come at once")
        burst = [
            asyncio.create_task(client.send("POST", "/post/1", 6000, b"entry"))
            for _ in range(BURST)
        ]
        await asyncio.sleep(0.3)
    acknowledged_at = await leaving.announce("draining")
    record.say(f"{leaving.id} drains, and 200 acknowledges it")
    await asyncio.sleep(max(0.0, acknowledged_at + STAY_S - record.now()))
    at_work = set(name for _, name in leaving.arrivals)
    at_work -= set(leaving.finished)
    await leaving.deregister()
    await leaving.exit()
    await pressing
    await asyncio.gather(*burst)
    late = [
        (at, name)
        for at, name in leaving.arrivals
        if at > acknowledged_at + DRAIN_S
    ]
    lost = [
        name
        for _, name in late
        if name in at_work and client.answers.get(name, 0) != 200
    ]
    record.say(
        f"acknowledged at {acknowledged_at:.3f}; {len(late)} requests reached"
        f" the endpoint more than {DRAIN_S:.0f} s later;"
        f" {len(lost)} of them were lost at its end"
    )
    if late:
        return (
            f"DRAIN: {len(late)} requests reached an endpoint up to"
            f" {late[-1][0] - acknowledged_at:.2f} s after its leaving was"
            f" acknowledged; {len(lost)} of them were lost at its end"
        )
    return ""


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, LAYOUT, DOCUMENT, play))
