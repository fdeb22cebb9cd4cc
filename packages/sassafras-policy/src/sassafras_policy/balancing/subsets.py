"""The part of a large service's targets that one node calls."""

from collections.abc import Sequence

from sassafras_base import hashing
from sassafras_policy.membership import records

# Bounds the connections of a node and of a target. Enough for the power of
# two choices to find an idle target.
LARGEST_SUBSET = 20


def choose(
    own_id: str, serving: Sequence[records.NodeRecord]
) -> Sequence[records.NodeRecord]:
    """Returns at most 20 targets, the same ones as long as they serve.

    Each node has a subset of its own, so that together they cover the
    service. A node that is in the service itself is always in its subset.
    """
    if len(serving) <= LARGEST_SUBSET:
        return serving
    ranked = sorted(
        serving,
        key=lambda record: (
            record.node_id != own_id,
            hashing.stable_hash(own_id, record.node_id),
        ),
    )
    return ranked[:LARGEST_SUBSET]
