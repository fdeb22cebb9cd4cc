"""Two nodes grant the whole rate of an organisation at the same time."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path[:0] = [str(FOLDER.parent), str(ROOT / "target/deps")]

import standins_3 as standins  # noqa: E402
from sassafras_base import hashing  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# `platform_down` with how `nodes busy` lasts for 9 s in the site files.
REJECTED_S = 9.0
RATE_PER_S = 100
BURST = 100
WINDOW_S = 5.0
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + 0.1) + 20

HOST = "desk.example"
KEY = "key-of-the-tenant"
MACHINES = [f"desk-{number:02}" for number in range(1, 21)]
ZONES = {
    name: "zone-a" if number % 2 else "zone-b"
    for number, name in enumerate(MACHINES)
}
LAYOUT = [(name, zone, "desk", 50, 0.02) for name, zone in ZONES.items()]


def holder_of(tenant):
    """Returns the node that grants the rate of a tenant."""
    return hashing.rendezvous(tenant, MACHINES, 1)[0]


def near(name):
    """Returns the other machines of the zone."""
    return [m for m in MACHINES if ZONES[m] == ZONES[name] and m != name]


def is_linked(name):
    """Returns whether the nodes of its zone keep links to a node."""
    zone = ZONES[name]
    return name in hashing.rendezvous(zone, [name, *near(name)], 3)


# With links to the holder, the nodes of its zone would go on to count it.
TENANT = next(
    name
    for name in (f"tenant-{number}" for number in range(1, 100))
    if not is_linked(holder_of(name))
)
DOCUMENT = standins.configuration(
    1,
    [standins.route("look", HOST, "/look/", "desk", "safe", 0)],
    [
        {
            "Name": TENANT,
            "ApiKeys": [KEY],
            "Priority": 0,
            "RatePerS": RATE_PER_S,
            "Burst": BURST,
        }
    ],
)


async def play(deployment, is_trouble):
    record = deployment.record
    # The node that grants the rate; the store rejects this one machine.
    holder = holder_of(TENANT)
    record.say(f"{holder} grants the rate of {TENANT}")
    end_s = record.now() + 26
    pressing = [
        asyncio.create_task(
            standins.Client(
                record, deployment.machines[name], HOST, KEY
            ).press(per_s, end_s, "GET", "/look/1", 3000)
        )
        for name, per_s in [
            (holder, 1.1 * RATE_PER_S),
            *((name, 0.3 * RATE_PER_S) for name in near(holder)[:4]),
        ]
    ]
    await asyncio.sleep(6)
    if is_trouble:
        renewed_at = deployment.store.renewed_at[holder]
        while deployment.store.renewed_at[holder] == renewed_at:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.8)
        deployment.store.rejected.add(holder)
        record.say(f"the store answers {holder} with 503")
        await asyncio.sleep(REJECTED_S)
        deployment.store.rejected.clear()
        record.say(f"the store serves {holder} again")
    await asyncio.gather(*pressing)
    times = sorted(
        at
        for endpoint in deployment.endpoints.values()
        for at, _ in endpoint.arrivals
    )
    most, begin = max(
        (
            sum(first <= at < first + WINDOW_S for at in times[number:]),
            first,
        )
        for number, first in enumerate(times)
    )
    record.say(
        f"at most {most} requests ran within {WINDOW_S:.0f} s, from"
        f" {begin:.3f}; the limit is {LIMIT:.0f}"
    )
    if most > LIMIT:
        return f"QUOTA: {most} requests ran in a window; {LIMIT:.0f} may"
    return ""


if __name__ == "__main__":
    sys.exit(
        standins.run_case(FOLDER, LAYOUT, DOCUMENT, play, IS_TROUBLE)
    )
