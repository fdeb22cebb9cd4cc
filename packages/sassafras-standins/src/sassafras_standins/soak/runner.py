"""Runs a fleet under load with overlapping random faults."""

import collections
import dataclasses
import pathlib
import random

import trio

from sassafras_standins.soak import callers
from sassafras_standins.soak import faults
from sassafras_standins.soak import fleet as fleets

# Mean time between the starts of two faults; most last longer and overlap.
_MEAN_INTERVAL_S = 0.8
_MEAN_DRILL_INTERVAL_S = 3.0
# The platform's limit for recovery after the last fault.
_RECOVERY_S = 15.0
_CALLERS_PER_MACHINE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a run.

    Attributes:
      seed: Seed of the random choices.
      violations: A line of text for each violation of an invariant.
      statuses: Number of requests by response status; 0 means no response.
      faults: Faults in the order in which they started.
    """

    seed: int
    violations: list[str]
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
      seed: Seed for faults, their times and the requests.
      machines: Number of machines, each with a node and an endpoint.
      seconds: Time during which faults start.
      settings: Path of the nodes' INI file.
      folder: Folder for boot files and logs of the nodes.
    """
    rng = random.Random(seed)
    started: list[str] = []
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, folder, settings)
        try:
            await fleet.start(machines)
            for host in fleet.hosts:
                for number in range(_CALLERS_PER_MACHINE):
                    name = f"{host.machine.name}-{number}"
                    nursery.start_soon(
                        callers.run, fleet, host, name, _child_rng(rng)
                    )
            async with trio.open_nursery() as running:
                drill_rng = random.Random(f"drills of {seed}")
                running.start_soon(
                    _run_drills, fleet, drill_rng, seconds, started
                )
                await _inject_faults(fleet, running, rng, seconds, started)
            await _check_recovery(fleet)
            # Leaves time for a delayed duplicate of a request to execute.
            await trio.sleep(1.0)
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()
            nursery.cancel_scope.cancel()
    statuses = collections.Counter(sent.status for sent in fleet.history.sent)
    return Result(seed, fleet.history.violations(), dict(statuses), started)


def _child_rng(rng: random.Random) -> random.Random:
    return random.Random(rng.random())


async def _inject_faults(
    fleet: fleets.Fleet,
    nursery: trio.Nursery,
    rng: random.Random,
    seconds: float,
    started: list[str],
) -> None:
    ends_at = trio.current_time() + seconds
    names = sorted(faults.faults.names)
    while trio.current_time() < ends_at:
        await trio.sleep(rng.expovariate(1.0 / _MEAN_INTERVAL_S))
        name = rng.choice(names)
        host = rng.choice(fleet.hosts)
        started.append(f"{name} at {host.machine.name}")
        nursery.start_soon(
            faults.faults.get(name), fleet, host, _child_rng(rng)
        )


async def _run_drills(
    fleet: fleets.Fleet,
    rng: random.Random,
    seconds: float,
    started: list[str],
) -> None:
    """Runs drills one after another, beside the faults."""
    ends_at = trio.current_time() + seconds
    names = sorted(faults.drills.names)
    while True:
        await trio.sleep(rng.expovariate(1.0 / _MEAN_DRILL_INTERVAL_S))
        if trio.current_time() >= ends_at:
            return
        name = rng.choice(names)
        host = rng.choice(fleet.hosts)
        started.append(f"{name} at {host.machine.name}")
        await faults.drills.get(name)(fleet, host, _child_rng(rng))


async def _check_recovery(fleet: fleets.Fleet) -> None:
    """Records a violation unless each machine serves again in time."""
    with trio.move_on_after(_RECOVERY_S):
        for host in fleet.hosts:
            await host.node.wait_until_ready()
        await _wait_until_served(fleet)
        return
    fleet.history.faults.append(
        f"not every machine served again {_RECOVERY_S:.0f} s after the faults"
    )


async def _wait_until_served(fleet: fleets.Fleet) -> None:
    """Waits until a request from each machine has succeeded."""
    first = len(fleet.history.sent)
    pending = {host.machine.name for host in fleet.hosts}
    while pending:
        await trio.sleep(0.1)
        for sent in fleet.history.sent[first:]:
            if sent.status == 200:
                pending.discard(sent.request_id.rsplit("-", 2)[0])
