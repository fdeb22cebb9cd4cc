"""After a freeze of one machine, tenants are refused for good elsewhere."""

import asyncio
import collections
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path[:0] = [str(FOLDER.parent), str(ROOT / "target/deps")]

import standins_3 as standins  # noqa: E402
from sassafras_base import hashing  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# `node_freeze` lasts for 3.5 s in the site files.
FROZEN_S = 3.0
RATE_PER_S = 20
LENGTH_S = 75.0
BEFORE_S = 6.0

HOST = "desk.example"
MACHINES = [f"desk-{number:02}" for number in range(1, 21)]
LAYOUT = [
    (name, "zone-a" if number % 2 else "zone-b", "desk", 50, 0.02)
    for number, name in enumerate(MACHINES)
]
TENANTS = [f"tenant-{number}" for number in range(1, 41)]
DOCUMENT = standins.configuration(
    1,
    [standins.route("look", HOST, "/look/", "desk", "safe", 0)],
    [
        {
            "Name": name,
            "ApiKeys": [f"key-of-{name}"],
            "Priority": 0,
            "RatePerS": RATE_PER_S,
            "Burst": RATE_PER_S,
        }
        for name in TENANTS
    ],
)


def most_used_holder():
    """Returns the node that grants the rates of the most tenants."""
    holders = collections.Counter(
        hashing.rendezvous(name, MACHINES, 1)[0] for name in TENANTS
    )
    return holders.most_common(1)[0][0]


async def play(deployment, is_trouble):
    record = deployment.record
    holder = most_used_holder()
    # The clients of all tenants use three machines; each tenant asks 6
    # requests a second of the 20 that it may.
    used = [name for name in MACHINES if name != holder][:3]
    clients = [
        (
            tenant,
            standins.Client(
                record, deployment.machines[name], HOST, f"key-of-{tenant}"
            ),
        )
        for tenant in TENANTS
        for name in used
    ]
    end_s = record.now() + LENGTH_S
    pressing = [
        asyncio.create_task(client.press(2, end_s, "GET", "/look/1", 3000))
        for _, client in clients
    ]
    await asyncio.sleep(BEFORE_S)
    if is_trouble:
        machine = deployment.machines[holder]
        machine.signal(signal.SIGSTOP)
        record.say(f"{holder} freezes; it has no clients")
        await asyncio.sleep(FROZEN_S)
        machine.signal(signal.SIGCONT)
        record.say(f"{holder} wakes")
    await asyncio.gather(*pressing)
    asked = collections.Counter()
    served = collections.Counter()
    for tenant, client in clients:
        asked[tenant] += len(client.sent)
        served[tenant] += list(client.answers.values()).count(200)
    share_of_all = served.total() / asked.total()
    starved = []
    for tenant in TENANTS:
        share = served[tenant] / asked[tenant]
        if share < share_of_all / 4:
            starved.append(tenant)
            record.say(
                f"{tenant}: {served[tenant]} of {asked[tenant]} requests served"
            )
    record.say(
        f"all tenants: {served.total()} of {asked.total()} requests served"
    )
    if starved:
        return (
            f"Starved: {len(starved)} of {len(TENANTS)} tenants are served less"
            " than a quarter as often as all, below their rates, until the end"
        )
    return ""


if __name__ == "__main__":
    sys.exit(
        standins.run_case(FOLDER, LAYOUT, DOCUMENT, play, IS_TROUBLE)
    )
