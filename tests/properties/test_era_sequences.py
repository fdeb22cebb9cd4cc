"""A store that comes back from a copy at any moment of a sequence of writes."""

import dataclasses

import hypothesis
from hypothesis import strategies
import trio

from common import store_fleet
from sassafras_node.mesh.store import entries
from sassafras_policy.mesh import targets

_NAMES = ("one", "two", "three")
# Bounds of the deployment; see documents.boot_file.
_REVOKE_S = 5.0
_DRAIN_S = 2.0
_SAMPLE_S = 0.05
# A node that was cut off or has just started learns what it missed within two
# pings. A call that it sends before is refused by the node beside the target.
_CATCH_UP_S = 1.0
_SETTLE_S = 14.0
_ACK_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True)
class _Case:
    """One run.

    Attributes:
      actions: What is written, by whom, and the pause after it.
      copied_at: Number of the moment at which the copy is made.
      returns_at: Number of the moment at which the store comes back; moments
        lie before and after each write.
      away_s: Time for which the store answers nobody.
      late_s: Time after which the operator writes the newest configuration.
      cut: Node that does not reach the store from the return on; empty for
        none.
      cut_links: Whether that node does not reach the other nodes either.
      cut_s: Time for which it is cut off.
    """

    actions: tuple[tuple[str, str, float], ...]
    copied_at: int
    returns_at: int
    away_s: float
    late_s: float
    cut: str
    cut_links: bool
    cut_s: float


_ACTIONS = strategies.tuples(
    strategies.sampled_from(
        ["configure", "withdraw", "drain", "deregister", "replace", "restart"]
    ),
    strategies.sampled_from(_NAMES),
    strategies.sampled_from([0.0, 0.05, 0.6, 1.3]),
)
_CASES = strategies.builds(
    _Case,
    actions=strategies.lists(_ACTIONS, min_size=1, max_size=6).map(tuple),
    copied_at=strategies.integers(0, 12),
    returns_at=strategies.integers(0, 40),
    away_s=strategies.sampled_from([0.0, 0.1, 0.9]),
    late_s=strategies.sampled_from([0.0, 0.3, 1.0]),
    cut=strategies.sampled_from(["", *_NAMES]),
    cut_links=strategies.booleans(),
    cut_s=strategies.sampled_from([0.5, 3.0, 7.0]),
)


class _Run:
    """Carries out one case and checks the bounds all the while."""

    def __init__(self, case, fleet, nursery):
        self._case = case
        self._fleet = fleet
        self._nursery = nursery
        self._copy = None
        self._has_returned = False
        self._keys = [f"key-{number}" for number in range(10)]
        self._targets = {}
        self._started_at = {}
        self._sequence = 0
        self._departed = {}
        self._cut_until = -_CATCH_UP_S

    async def run(self):
        fleet = self._fleet
        fleet.configure(2, self._keys)
        for name in _NAMES:
            await self._start(name)
        await trio.sleep(4.0)
        self._copy = fleet.store.copy()
        first = fleet.writes

        def on_write(number):
            moment = number - first
            if moment == self._case.copied_at and not self._has_returned:
                self._copy = fleet.store.copy()
            if moment == self._case.returns_at and not self._has_returned:
                self._return()

        fleet.on_write = on_write
        self._nursery.start_soon(self._watch)
        for action, name, pause_s in self._case.actions:
            await getattr(self, f"_{action}")(name)
            await trio.sleep(pause_s)
        if not self._has_returned:
            self._return()
        await trio.sleep(_SETTLE_S + self._case.cut_s)
        await self._check_end()

    def _return(self):
        """Brings the store back; the response to the present write is lost."""
        self._has_returned = True
        case, fleet = self._case, self._fleet
        fleet.come_back(self._copy)
        fleet.is_away = case.away_s > 0
        self._nursery.start_soon(self._finish_return)
        if case.cut:
            fleet.cut.add(case.cut)
            if case.cut_links:
                fleet.cut_links.add(case.cut)
            self._cut_until = trio.current_time() + case.cut_s
            self._nursery.start_soon(self._end_cut)

    async def _finish_return(self):
        await trio.sleep(self._case.away_s)
        self._fleet.is_away = False
        await trio.sleep(self._case.late_s)
        self._fleet.rewrite_configuration()

    async def _end_cut(self):
        await trio.sleep(self._case.cut_s)
        self._fleet.cut.clear()
        self._fleet.cut_links.clear()

    async def _start(self, name):
        self._started_at[name] = trio.current_time()
        await self._fleet.start_node(name)
        await self._announce_next(name)

    async def _announce_next(self, name):
        """Announces a new target, which waits for its acknowledgement."""
        self._sequence += 1
        self._targets[name] = f"target-{self._sequence}"
        self._nursery.start_soon(
            self._announce, name, self._targets[name], targets.State.READY
        )

    async def _announce(self, name, target_id, state):
        self._sequence += 1
        sequence = self._sequence
        while name in self._fleet.nodes:
            node = self._fleet.nodes[name]
            if await self._fleet.announce(name, target_id, state, sequence):
                if state is not targets.State.READY:
                    self._departed.setdefault(
                        target_id, (trio.current_time(), node)
                    )
                return
            await trio.sleep(_ACK_RETRY_S)

    async def _configure(self, name):
        del name
        self._fleet.configure(max(self._fleet.documents) + 1, self._keys)

    async def _withdraw(self, name):
        del name
        self._keys.pop()
        await self._configure("")

    async def _drain(self, name):
        self._nursery.start_soon(
            self._announce, name, self._targets[name], targets.State.LEAVING
        )

    async def _deregister(self, name):
        self._nursery.start_soon(
            self._announce, name, self._targets[name], targets.State.GONE
        )

    async def _replace(self, name):
        await self._drain(name)
        await trio.sleep(0.3)
        await self._announce_next(name)

    async def _restart(self, name):
        await self._fleet.stop_node(name)
        await self._start(name)

    async def _watch(self):
        versions = {}
        while True:
            now = trio.current_time()
            for node in list(self._fleet.nodes.values()):
                self._check_configuration(node, versions, now)
                self._check_departures(node, now)
            await trio.sleep(_SAMPLE_S)

    def _check_configuration(self, node, versions, now):
        assert node.version >= versions.get(node, 0)
        versions[node] = node.version
        replaced_at = [
            at
            for version, (at, _) in self._fleet.documents.items()
            if version > node.version
        ]
        if replaced_at and now > min(replaced_at) + _REVOKE_S:
            assert not node.freshness.permits_keys(now)

    def _check_departures(self, node, now):
        own_id = node.settings.host.node_id
        is_new = now < self._started_at[own_id] + _CATCH_UP_S
        is_cut = now < self._cut_until + _CATCH_UP_S and (
            self._case.cut_links or own_id == self._case.cut
        )
        serving = node.fleet.serving(store_fleet.SERVICE)
        for target_id, (at, witness) in self._departed.items():
            own = node.target.announcement
            if own is not None and own.target_id == target_id:
                assert node is not witness or own.state is not (
                    targets.State.READY
                )
            if now > at + _DRAIN_S and not is_cut and not is_new:
                assert target_id not in {e.target.target_id for e in serving}

    async def _check_end(self):
        fleet = self._fleet
        names = set(fleet.nodes)
        for name, node in fleet.nodes.items():
            assert node.version == max(fleet.documents)
            assert node.is_ready
            assert node.store_era.era == 2
            assert node.members.position.era == 2
            listed = {entry.node_id for entry in node.fleet.listed_entries}
            assert listed == names - {name}
            assert fleet.stored_entry(name) == node.entry
            assert node.stored_entry_number == node.entry.number
            item = fleet.store._items[entries.key_of(name)]
            assert item.lease == node.lease
            assert node.lease in fleet.store._leases
        leases = {node.lease for node in fleet.nodes.values()}
        assert len(leases) == len(names)
        assert fleet.store.keys(entries.PREFIX) == sorted(
            entries.key_of(name) for name in names
        )
        fleet.store.calls.clear()
        await trio.sleep(5.0)
        assert not fleet.store.calls["POST /sassafrasmount/kv-txn"]


async def _run(case):
    async with store_fleet.running() as fleet, trio.open_nursery() as nursery:
        await _Run(case, fleet, nursery).run()
        nursery.cancel_scope.cancel()


@hypothesis.given(_CASES)
@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    # A smaller case has other moments, and each takes a second to run.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
def test_nothing_older_comes_back_whenever_the_store_does(case):
    """Guards against state that only some moments of a return bring back."""
    store_fleet.run(_run, case)
