"""Which nodes of an availability zone read the store for the others.

A call to the store for each node and change does not scale. One node of each
zone, its reader, watches the store; the others learn the configuration, the
proof that it is the newest and the entries of all nodes from the first few
candidates for that role. There is no election: each node orders the candidates
by a hash, without those that it cannot reach or that cannot reach the store.
Two nodes with different views may both read for a while. Where none reads, a
node whose proof has become too old reads itself.
"""

from collections.abc import Iterable
import dataclasses

from sassafras_base import hashing

# Candidates that the other nodes of the zone ask. With the first one gone, the
# second is already known to all.
CANDIDATE_COUNT = 3

# Parts of the age that a proof should never reach. It is at most two waits old
# at the reader, and one ping interval more at the others.
_WAIT_SHARE = 0.2
_PING_SHARE = 0.2
# A candidate reads once its proof is older than a working reader leaves it, and
# the other nodes later, one after another. What is left is for the call.
_FIRST_AGE_SHARE = 0.68
_SECOND_AGE_SHARE = 0.72
_OTHERS_AGE_SHARE = 0.75
_OTHERS_SPREAD_SHARE = 0.1
_SPREAD_STEPS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReaders:
    """The candidates for reading the store in one zone, as one node sees them.

    Attributes:
      own_id: The node.
      candidates: The first nodes in the order of the zone.
    """

    own_id: str
    candidates: tuple[str, ...]

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its zone."""
        return self.candidates[0] == self.own_id

    def read_after_age_s(self, max_age_s: float) -> float:
        """Returns the age of the proof at which this node reads itself.

        Args:
          max_age_s: Age that the proof should never reach.
        """
        if self.is_reader:
            return 0.0
        if self.own_id in self.candidates:
            is_second = self.candidates[1] == self.own_id
            return max_age_s * (
                _FIRST_AGE_SHARE if is_second else _SECOND_AGE_SHARE
            )
        step = hashing.stable_hash(self.own_id) % _SPREAD_STEPS
        spread = _OTHERS_SPREAD_SHARE * step / _SPREAD_STEPS
        return max_age_s * (_OTHERS_AGE_SHARE + spread)


def choose(zone: str, own_id: str, node_ids: Iterable[str]) -> ZoneReaders:
    """Returns the candidates among the usable nodes of a zone.

    Args:
      zone: The zone, which decides the order.
      own_id: The node that asks.
      node_ids: Nodes of the zone that reach the store, as far as is known.
    """
    ranked = hashing.rendezvous(zone, node_ids, CANDIDATE_COUNT)
    return ZoneReaders(own_id, tuple(ranked) or (own_id,))


def wait_s(max_age_s: float) -> float:
    """Returns how long the reader waits for a change in one call."""
    return max_age_s * _WAIT_SHARE


def ping_interval_s(max_age_s: float) -> float:
    """Returns the time between two pings to a candidate of the zone."""
    return max_age_s * _PING_SHARE
