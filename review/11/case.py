"""One configuration with a large Priority ends the nodes again and again."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The rank of the new route; nothing on the pages bounds it.
PRIORITY = 30_000
# The grown deployments have machines of 200 to 552 MB.
MEMORY_MB = 200
RESTART_S = 1.0
LENGTH_S = 50.0
ENDS = 3
MACHINES = 2

HOST = "ledger.example"
LAYOUT = [
    ("desk-1", "zone-a", "desk", 20, 0.05),
    ("ledger-1", "zone-a", "ledger", 20, 0.05),
    ("ledger-2", "zone-b", "ledger", 20, 0.05),
    ("desk-2", "zone-b", "desk", 20, 0.05),
]


def document(version, has_batch):
    routes = [
        standins.route("post", HOST, "/post/", "ledger", "unsafe", 0),
        standins.route("look", HOST, "/look/", "desk", "safe", 2),
    ]
    if has_batch:
        routes.append(
            standins.route("batch", HOST, "/batch/", "desk", "safe", PRIORITY)
        )
    return standins.configuration(version, routes)


def used_mb(machine):
    """Returns the memory that the node's process uses."""
    try:
        with open(f"/proc/{machine.process.pid}/statm") as file:
            return int(file.read().split()[1]) * 4096 / 1024 / 1024
    except OSError:
        return 0.0


async def keep(record, machine, ends, until):
    """Keeps a node running as the platform does, with its memory limit."""
    most_mb = 0.0
    while record.now() < until:
        await asyncio.sleep(0.05)
        mb = used_mb(machine)
        most_mb = max(most_mb, mb)
        if mb > MEMORY_MB:
            record.say(f"{machine.name}: {mb:.0f} MB is over {MEMORY_MB} MB")
            machine.kill(record)
        if machine.process.poll() is not None:
            ends[machine.name] += 1
            await asyncio.sleep(RESTART_S)
            machine.start(record)
    record.say(
        f"{machine.name}: {ends[machine.name]} ends, at most {most_mb:.0f} MB"
    )


async def play(deployment, is_trouble):
    record = deployment.record
    client = standins.Client(record, deployment.machines["desk-1"], HOST)
    ends = dict.fromkeys(deployment.machines, 0)
    until = record.now() + LENGTH_S
    keepers = [
        asyncio.create_task(keep(record, machine, ends, until))
        for machine in deployment.machines.values()
    ]
    pressing = asyncio.create_task(
        client.press(20, until - 4, "POST", "/post/1", 3000, b"entry")
    )
    await asyncio.sleep(4)
    deployment.store.put("op/config", document(2, is_trouble))
    changed_at = record.now()
    record.say("the operator writes version r2")
    await asyncio.gather(*keepers, pressing)
    after = [
        client.answers[name]
        for name, at in client.sent.items()
        if at > changed_at + 2
    ]
    record.say(f"{after.count(200)} of {len(after)} requests served after it")
    often = [name for name, count in ends.items() if count >= ENDS]
    if len(often) >= MACHINES:
        return (
            f"Fault: {len(often)} of {len(LAYOUT)} processes were over the"
            f" memory limit {ENDS} times or more; {after.count(200)} of"
            f" {len(after)} requests served"
        )
    return ""


if __name__ == "__main__":
    standins.MEMORY_MB = MEMORY_MB
    sys.exit(
        standins.run_case(
            FOLDER, LAYOUT, document(1, False), play, IS_TROUBLE
        )
    )
