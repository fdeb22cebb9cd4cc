"""One run: a fleet, callers and overlapping faults, drawn from a seed."""

import collections
import dataclasses
import pathlib
import random

import trio

from sassafras_standins.soak import callers
from sassafras_standins.soak import faults
from sassafras_standins.soak import fleet as fleets

# Each fault follows the last one after this time, on average; most last longer.
_GAP_S = 0.8
# The platform's bound on the recovery after a final fault.
_RECOVER_S = 15.0
_CALLERS_PER_MACHINE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run has shown.

    Attributes:
      seed: What it was drawn from.
      broken: Promises that were broken.
      statuses: How requests ended; 0 without an answer.
      faults: Faults in the order of their beginning.
    """

    seed: int
    broken: list[str]
    statuses: dict[int, int]
    faults: list[str]


async def run(
    seed: int,
    *,
    machines: int,
    seconds: float,
    settings: str,
    folder: pathlib.Path,
) -> Result:
    """Runs one seed.

    Args:
      seed: Draws faults, their times and the requests.
      machines: Machines with a node and an endpoint each.
      seconds: How long faults begin.
      settings: Path of the nodes' INI file.
      folder: For settings files and logs of the nodes.
    """
    rng = random.Random(seed)
    begun: list[str] = []
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, folder, settings)
        try:
            await fleet.start(machines)
            for place in fleet.places:
                for number in range(_CALLERS_PER_MACHINE):
                    name = f"{place.machine.name}-{number}"
                    nursery.start_soon(
                        callers.run, fleet, place, name, _drawn(rng)
                    )
            async with trio.open_nursery() as running:
                await _begin_faults(fleet, running, rng, seconds, begun)
            await _recover(fleet)
            # A late copy of a request would still run now.
            await trio.sleep(1.0)
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()
            nursery.cancel_scope.cancel()
    statuses = collections.Counter(sent.status for sent in fleet.ledger.sent)
    return Result(seed, fleet.ledger.broken(), dict(statuses), begun)


def _drawn(rng: random.Random) -> random.Random:
    return random.Random(rng.random())


async def _begin_faults(
    fleet: fleets.Fleet,
    nursery: trio.Nursery,
    rng: random.Random,
    seconds: float,
    begun: list[str],
) -> None:
    ends_at = trio.current_time() + seconds
    names = sorted(faults.faults.names)
    while trio.current_time() < ends_at:
        await trio.sleep(rng.expovariate(1.0 / _GAP_S))
        name = rng.choice(names)
        place = rng.choice(fleet.places)
        begun.append(f"{name} at {place.machine.name}")
        nursery.start_soon(faults.faults.get(name), fleet, place, _drawn(rng))


async def _recover(fleet: fleets.Fleet) -> None:
    """Checks that each machine serves again in time."""
    with trio.move_on_after(_RECOVER_S):
        for place in fleet.places:
            await place.node.until_ready()
        await _until_served(fleet)
        return
    fleet.ledger.faults.append(
        f"not every machine served again {_RECOVER_S:.0f} s after the faults"
    )


async def _until_served(fleet: fleets.Fleet) -> None:
    """Waits until requests of each machine have been answered by endpoints."""
    first = len(fleet.ledger.sent)
    wanted = {place.machine.name for place in fleet.places}
    while wanted:
        await trio.sleep(0.1)
        for sent in fleet.ledger.sent[first:]:
            if sent.status == 200:
                wanted.discard(sent.request_id.rsplit("-", 2)[0])
