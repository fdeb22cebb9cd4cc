"""Which nodes a node keeps a control link to.

With a link between every two nodes, the pings of a fleet grow with the square
of its size. A node needs links for the proof that its configuration is the
newest, for the configuration and for the entries of all nodes, which the
readers of its zone have. Links outside the zone serve when no node of the zone
reaches the store. What a node has to know of a target, it learns from the
responses to its calls.
"""

from collections.abc import Collection
from collections.abc import Iterable

from sassafras_base import hashing
from sassafras_policy.mesh import readers
from sassafras_policy.mesh import targets

# Links to other nodes, besides those to the first candidates for reading.
_OTHER_COUNT = 5
# Unusable nodes are replaced by the next ones, up to this multiple of the
# counts, so that an outage of the store does not link all nodes.
_MAX_GROWTH = 2


def choose(
    own: targets.NodeEntry,
    entries: Collection[targets.NodeEntry],
    unusable: Collection[str],
    needs_all: bool,
) -> set[str]:
    """Returns the ids of the nodes to link to.

    Args:
      own: Entry of the node that asks.
      entries: Entries of the other nodes.
      unusable: Nodes that cannot be reached or do not reach the store. They
        keep their links, so that their return is noticed.
      needs_all: Whether the node has to know the demand at all others. A share
        of a rate that is computed from a part of the demand is too large.
    """
    if needs_all:
        return {entry.node_id for entry in entries}
    near = [
        entry.node_id
        for entry in entries
        if entry.availability_zone == own.availability_zone
        and not entry.is_leaving
    ]
    chosen = set(
        _first_usable(
            hashing.rendezvous(own.availability_zone, near, len(near)),
            unusable,
            readers.CANDIDATE_COUNT,
        )
    )
    others = [
        entry.node_id
        for entry in entries
        if not entry.is_leaving and entry.node_id not in chosen
    ]
    ranked = hashing.rendezvous(own.node_id, others, len(others))
    far = {
        entry.node_id
        for entry in entries
        if entry.availability_zone != own.availability_zone
    }
    ranked.sort(key=lambda node_id: node_id not in far)
    chosen.update(_first_usable(ranked, unusable, _OTHER_COUNT))
    return chosen


def _first_usable(
    ranked: Iterable[str], unusable: Collection[str], count: int
) -> list[str]:
    """Returns nodes in order until enough of them are usable."""
    chosen: list[str] = []
    missing = count
    for node_id in ranked:
        if not missing or len(chosen) >= _MAX_GROWTH * count:
            break
        chosen.append(node_id)
        missing -= node_id not in unusable
    return chosen
