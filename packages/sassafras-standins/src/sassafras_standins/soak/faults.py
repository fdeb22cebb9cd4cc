"""Faults, each an entry of a registry; a run draws from all of them."""

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

Fault = Callable[[fleets.Fleet, fleets.Place, random.Random], Awaitable[None]]

faults: registry.Registry[Fault] = registry.Registry("soak fault")

_STORE_MODES = [
    mode for mode in store_standin.Mode if mode != store_standin.Mode.NORMAL
]
_PROXY_MODES = [mode for mode in proxy.Mode if mode != proxy.Mode.PASS]
# Around the bounds of the deployment: a key works for 5 s, a lease lasts 6 s.
_SHORTEST_S = 0.3
_LONGEST_S = 7.0
# The platform starts a process again after a short delay.
_RESTART_S = (0.2, 1.5)
_LONGEST_DRAIN_S = 4.0


def _span_s(rng: random.Random) -> float:
    return rng.uniform(_SHORTEST_S, _LONGEST_S)


async def _restart(
    fleet: fleets.Fleet,
    place: fleets.Place,
    rng: random.Random,
    end: Callable[[], Awaitable[None]],
) -> None:
    """Ends a node and starts it again, unless that is under way already."""
    if place.machine.name in fleet.busy:
        return
    fleet.busy.add(place.machine.name)
    await end()
    await trio.sleep(rng.uniform(*_RESTART_S))
    place.node.start()
    fleet.busy.discard(place.machine.name)


@faults.register("node-kill")
async def kill_node(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Kills a node and starts it again."""
    await _restart(fleet, place, rng, place.node.kill)


@faults.register("node-stop")
async def stop_node(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Asks a node to stop, and starts it again."""
    await _restart(fleet, place, rng, place.node.stop)


@faults.register("node-pause")
async def pause_node(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Freezes a node for a while."""
    del fleet
    place.node.send(signal.SIGSTOP)
    await trio.sleep(_span_s(rng))
    place.node.send(signal.SIGCONT)


@faults.register("settings-signal")
async def signal_settings(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Tells a node that its settings file has changed."""
    del fleet, rng
    place.node.send(signal.SIGHUP)


@faults.register("store-trouble")
async def trouble_store(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Makes the store silent, busy, slow, or lose answers."""
    del place
    fleet.store.mode = rng.choice(_STORE_MODES)
    fleet.store.pauses_leases = rng.random() < 0.5
    await trio.sleep(_span_s(rng))
    fleet.store.mode = store_standin.Mode.NORMAL


@faults.register("store-forgets")
async def forget_history(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Drops the store's history and cuts the watches."""
    del place, rng
    fleet.store.compact()


@faults.register("store-link")
async def cut_store_link(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Delays, resets, silences or cuts one way the link to the store."""
    del fleet
    place.store_link.mode = rng.choice(_PROXY_MODES)
    await trio.sleep(_span_s(rng))
    place.store_link.mode = proxy.Mode.PASS


@faults.register("endpoint-trouble")
async def trouble_endpoint(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Makes an endpoint slow, failing, breaking off or turning away."""
    del fleet
    behaviour = place.server.behaviour
    name = rng.choice(["fails", "breaks_off", "turns_away", "slow"])
    setattr(behaviour, name, 20.0 if name == "slow" else True)
    await trio.sleep(_span_s(rng))
    setattr(behaviour, name, 1.0 if name == "slow" else False)


@faults.register("endpoint-leaves")
async def replace_endpoint(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Lets an endpoint leave and another one come in its place."""
    if place.server.state != "ready":
        return
    try:
        await fleet.replace_server(place, rng.uniform(2.0, _LONGEST_DRAIN_S))
    except errors.SassafrasError:
        # Its node is down; it stays, and goes on announcing itself.
        place.server.state = "ready"


@faults.register("configuration")
async def change_configuration(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Writes a new version of the configuration."""
    del place, rng
    fleet.configure()


@faults.register("key-withdrawn")
async def withdraw_key(
    fleet: fleets.Fleet, place: fleets.Place, rng: random.Random
) -> None:
    """Takes a key away from callers that go on using it."""
    del place
    fleet.revoke(rng.choice(sorted(fleets.KEYS)))
