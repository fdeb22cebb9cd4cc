"""The registry of faults that a soak run injects at random."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal

import trio

from sassafras_base import errors
from sassafras_base import registry
from sassafras_standins.platform import store as store_standin
from sassafras_standins.soak import fleet as fleets
from sassafras_standins.soak import proxy

Fault = Callable[[fleets.Fleet, fleets.Host, random.Random], Awaitable[None]]

faults: registry.Registry[Fault] = registry.Registry("soak fault")
# Each run has all of these, at times of their own. Among the faults they would
# change the sequence of the seeds that failed before.
drills: registry.Registry[Fault] = registry.Registry("soak drill")

_STORE_MODES = [
    mode for mode in store_standin.Mode if mode != store_standin.Mode.NORMAL
]
_PROXY_MODES = [mode for mode in proxy.Mode if mode != proxy.Mode.PASS]
# The longest fault exceeds the time for which a withdrawn key may still work
# (5 s) and the TTL of a lease (6 s).
_MIN_FAULT_S = 0.3
_MAX_FAULT_S = 7.0
# The platform restarts a process after a short delay.
_RESTART_S = (0.2, 1.5)
_MAX_DRAIN_S = 4.0
# Age of a copy of the store, and the time for which the store is away.
_COPY_AGE_S = (0.1, 4.0)
_AWAY_S = (0.0, 0.8)
# Operators notice the return of the store within a second.
_MAX_REWRITE_S = 1.0


def _random_duration_s(rng: random.Random) -> float:
    return rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)


async def _restart(
    fleet: fleets.Fleet,
    host: fleets.Host,
    rng: random.Random,
    terminate: Callable[[], Awaitable[None]],
) -> None:
    """Terminates and restarts a node, unless a restart is in progress."""
    if host.machine.name in fleet.restarting:
        return
    fleet.restarting.add(host.machine.name)
    await terminate()
    await trio.sleep(rng.uniform(*_RESTART_S))
    host.node.start()
    fleet.restarting.discard(host.machine.name)


@faults.register("node-kill")
async def kill_node(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Kills a node and restarts it."""
    await _restart(fleet, host, rng, host.node.kill)


@faults.register("node-stop")
async def stop_node(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Stops a node as planned and restarts it."""
    await _restart(fleet, host, rng, host.node.stop)


@faults.register("node-pause")
async def pause_node(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Suspends the process of a node for a while."""
    del fleet
    host.node.send(signal.SIGSTOP)
    await trio.sleep(_random_duration_s(rng))
    host.node.send(signal.SIGCONT)


@faults.register("settings-signal")
async def reload_settings(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Makes a node reload its settings file."""
    del fleet, rng
    host.node.send(signal.SIGHUP)


@faults.register("store-trouble")
async def inject_store_fault(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Makes the store silent, busy or slow, or makes it lose responses."""
    del host
    fleet.store.mode = rng.choice(_STORE_MODES)
    fleet.store.pauses_leases = rng.random() < 0.5
    await trio.sleep(_random_duration_s(rng))
    fleet.store.mode = store_standin.Mode.NORMAL


@faults.register("store-forgets")
async def compact_store(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Compacts the store's history, which ends the open watches."""
    del host, rng
    fleet.store.compact()


@faults.register("store-link")
async def inject_link_fault(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Delays, resets, silences or cuts the connections to the store.

    A cut may affect one direction only.
    """
    del fleet
    host.store_link.mode = rng.choice(_PROXY_MODES)
    await trio.sleep(_random_duration_s(rng))
    host.store_link.mode = proxy.Mode.PASS


@faults.register("endpoint-trouble")
async def inject_endpoint_fault(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Makes an endpoint slow, or makes it fail, drop or reject requests."""
    del fleet
    behaviour = host.server.behaviour
    name = rng.choice(["fails", "breaks_off", "turns_away", "slow"])
    setattr(behaviour, name, 20.0 if name == "slow" else True)
    await trio.sleep(_random_duration_s(rng))
    setattr(behaviour, name, 1.0 if name == "slow" else False)


@faults.register("endpoint-leaves")
async def replace_endpoint(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Drains an endpoint and starts a new instance of it."""
    if host.server.state != "ready":
        return
    try:
        await fleet.replace_server(host, rng.uniform(2.0, _MAX_DRAIN_S))
    except errors.SassafrasError:
        # Its node is down, so the endpoint keeps announcing itself as ready.
        host.server.state = "ready"


@faults.register("configuration")
async def change_configuration(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Writes a new version of the configuration."""
    del host, rng
    fleet.configure()


@faults.register("key-withdrawn")
async def withdraw_key(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Withdraws a key that callers keep using."""
    del host
    fleet.revoke(rng.choice(sorted(fleets.KEYS)))


@drills.register("store-returns")
async def return_store(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Has the store come back from a copy that is some seconds old.

    The operator writes its newest configuration again.
    """
    del host
    copy = fleet.store.copy()
    await trio.sleep(rng.uniform(*_COPY_AGE_S))
    fleet.store.mode = store_standin.Mode.SILENT
    await trio.sleep(rng.uniform(*_AWAY_S))
    fleet.store.come_back(copy)
    fleet.store.mode = store_standin.Mode.NORMAL
    await trio.sleep(rng.uniform(0.0, _MAX_REWRITE_S))
    fleet.rewrite_configuration()
