"""After an outage of the store, each restarted node owns the whole of a rate."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins

_MACHINES = 5
_RATE = 60.0
_BURST = 60.0
# One tenant sends this many times its rate, over all machines.
_PRESSURE = 4.6
_OUTAGE_S = 4.5
_KILLED_AFTER_S = 1.0
_KILLED_FOR_S = 1.0
_AFTER_S = 12.0
_WINDOW_S = 5.0
_DEADLINE_MS = 2000


async def play(site: standins.Site) -> bool:
    machines = [
        standins.Machine(
            f"sidecar-{zone}-{number}", 10 * index + number, f"zone-{zone}",
            "desk",
        )
        for index, (zone, count) in enumerate((("a", 3), ("b", 2)))
        for number in range(1, count + 1)
    ]
    routes = [
        {
            "Name": "r-read", "Host": standins.HOST, "Prefix": "/read/",
            "RouteType": "safe", "TimeoutMs": 1200, "TargetLatencyMs": 2000,
            "Priority": 2, "MaxAttempts": 2, "Public": False,
            "Service": "desk",
        }
    ]
    tenants = [
        {"Name": "bank", "ApiKeys": ["bank-key"], "Priority": 1,
         "RatePerS": _RATE, "Burst": _BURST}
    ]
    await site.start(
        machines,
        standins.configuration(7, routes, ["desk"], tenants),
        36,
        0.02,
    )
    await asyncio.sleep(4.0)
    load = site.spawn(press(site))
    await asyncio.sleep(6.0)
    if standins.has_trouble():
        await fail(site)
    else:
        await asyncio.sleep(_OUTAGE_S)
    await asyncio.sleep(_AFTER_S)
    load.cancel()
    return judge(site)


async def fail(site: standins.Site) -> None:
    """The store is down, and meanwhile all processes are killed at once."""
    site.record.line("store: down; leases run out meanwhile")
    site.store.is_down = True
    await asyncio.sleep(_KILLED_AFTER_S)
    site.record.line("all nodes are killed")
    for node in site.nodes:
        node.kill()
    await asyncio.sleep(_KILLED_FOR_S)
    site.record.line("all nodes are started again")
    for node in site.nodes:
        node.start()
    await asyncio.sleep(_OUTAGE_S - _KILLED_AFTER_S - _KILLED_FOR_S)
    site.store.lapse_all()
    site.store.is_down = False
    site.record.line("store: back")


async def press(site: standins.Site) -> None:
    """One tenant's clients at all machines send above its rate."""
    rng = random.Random(1)
    number = 0
    while True:
        number += 1
        machine = site.machines[number % len(site.machines)]
        site.spawn(
            site.request(
                machine, f"q{number}", "/read/1", "bank-key", _DEADLINE_MS, "GET"
            )
        )
        await asyncio.sleep(rng.expovariate(_RATE * _PRESSURE))


def judge(site: standins.Site) -> bool:
    over = standins.BOUNDS["QuotaOver"]
    slack = standins.BOUNDS["QuotaSlack"]
    limit = (_RATE * _WINDOW_S + _BURST) * (1 + over) + slack
    times = sorted(at for e in site.endpoints for at, _, _ in e.runs)
    worst, worst_at, first = 0, 0.0, 0
    for last, at in enumerate(times):
        while times[first] <= at - _WINDOW_S:
            first += 1
        if last - first + 1 > worst:
            worst, worst_at = last - first + 1, at
    site.record.line(
        f"QUOTA: {worst} requests ran in the {_WINDOW_S:.0f} s before"
        f" {worst_at:.3f}; at most {limit:.0f} may"
    )
    return worst > limit


if __name__ == "__main__":
    standins.main(play, __file__)
