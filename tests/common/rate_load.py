"""Requests of one organisation at the nodes of a fleet, and its rate."""

import random

import trio

ORGANISATION = "acme"
RATE_PER_S = 60.0
BURST = 60.0
WINDOW_S = 5.0
# (rate x window + burst) x 1.1 + 20: QuotaWindowS, QuotaOver and QuotaSlack of
# documents.boot_file.
MAX_IN_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20


class RateLoad:
    """Sends requests at random times.

    Attributes:
      per_s: Requests a second.
      admitted: When requests were admitted.
      refused: When requests were refused by their rate.
      begins: Set when requests begin.
    """

    def __init__(self, per_s, choose, seed=1):
        """Prepares a load.

        Args:
          per_s: Requests a second.
          choose: Returns the node of the next request, or None to send none;
            called with the random numbers of the load.
          seed: Seed of these.
        """
        self.per_s = per_s
        self.admitted = []
        self.refused = []
        self.begins = trio.Event()
        self._choose = choose
        self._rng = random.Random(seed)

    async def run(self):
        await self.begins.wait()
        async with trio.open_nursery() as nursery:
            while True:
                node = self._choose(self._rng)
                if node is not None:
                    nursery.start_soon(self._send, node)
                await trio.sleep(self._rng.expovariate(self.per_s))

    async def _send(self, node):
        is_admitted = await node.limit_gate.admit(ORGANISATION) is None
        times = self.admitted if is_admitted else self.refused
        times.append(trio.current_time())

    @property
    def max_in_window(self):
        first = most = 0
        for count, at in enumerate(self.admitted, 1):
            while self.admitted[first] <= at - WINDOW_S:
                first += 1
            most = max(most, count - first)
        return most

    def refused_between(self, begin, end):
        return sum(begin <= at < end for at in self.refused)


def any_ready(fleet):
    """Returns a choice among all nodes of a fleet that are ready."""

    def choose(rng):
        ready = [node for node in fleet.nodes.values() if node.is_ready]
        return rng.choice(ready) if ready else None

    return choose


def weighted(fleet, weights):
    """Returns a choice among the nodes of a fleet with weights by name."""
    names = list(weights)

    def choose(rng):
        (name,) = rng.choices(names, list(weights.values()))
        node = fleet.nodes.get(name)
        return node if node is not None and node.is_ready else None

    return choose
