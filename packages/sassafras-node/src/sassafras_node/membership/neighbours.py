"""Choice of the neighbours to which a node sends heartbeats."""

from sassafras_base import hashing
from sassafras_policy.membership import table as tables

NEIGHBOUR_COUNT = 3

# Up to this size, one ring reaches any node in at most 8 hops. On three rings
# of few nodes the same node is often the successor on several, and some nodes
# would get heartbeats from twice as many others.
_MAX_SINGLE_RING_SIZE = 24

# A node without peers tries other seeds after this time, so that three seeds
# that are down do not keep it out of the fleet.
_SEED_ROTATION_S = 5.0


class Neighbours:
    """Chooses the successors of a node on rings of hashed ids.

    In a small fleet they are the next nodes on one ring, where a change takes
    N/3 hops to reach all nodes. In a larger one there is a ring for each
    neighbour, with a hash function of its own, and the number of hops grows
    with the logarithm of N.
    """

    def __init__(
        self, table: tables.MembershipTable, seeds: tuple[str, ...]
    ) -> None:
        self._table = table
        self._seeds = [seed for seed in seeds if seed != table.own_id]
        self._version = -1
        self._chosen: list[str] = []
        self._positions: dict[str, tuple[int, ...]] = {}

    @property
    def seeds(self) -> list[str]:
        """The configured seeds, without the node itself."""
        return list(self._seeds)

    def choose(self, now: float) -> list[str]:
        """Returns the successors, or some of the seeds if no peer is known."""
        if self._version != self._table.ring_version:
            self._version = self._table.ring_version
            self._chosen = self._successors()
        return self._chosen or self._some_seeds(now)

    def _some_seeds(self, now: float) -> list[str]:
        period = str(int(now / _SEED_ROTATION_S))
        return hashing.rendezvous(period, self._seeds, NEIGHBOUR_COUNT)

    def _successors(self) -> list[str]:
        own = _positions(self._table.own_id)
        known = {record.node_id for record in self._table.peers}
        self._positions = {
            node_id: self._positions.get(node_id) or _positions(node_id)
            for node_id in known
        }
        chosen: list[str] = []
        is_small = len(known) < _MAX_SINGLE_RING_SIZE
        for number in range(NEIGHBOUR_COUNT):
            ring = 0 if is_small else number
            rest = known.difference(chosen)
            if rest:
                chosen.append(
                    min(
                        rest,
                        key=lambda node: self._distance(node, own, ring),
                    )
                )
        return chosen

    def _distance(
        self, node_id: str, own: tuple[int, ...], ring: int
    ) -> tuple[int, str]:
        position = self._positions[node_id][ring]
        return ((position - own[ring]) % 2**64, node_id)


def _positions(node_id: str) -> tuple[int, ...]:
    return tuple(
        hashing.stable_hash(node_id, str(ring))
        for ring in range(NEIGHBOUR_COUNT)
    )
