"""Subsetting: the targets of a large service that one node calls."""

from collections.abc import Sequence

from sassafras_base import hashing
from sassafras_policy.membership import records

# Bounds the connections of each node and target, and is enough for the power
# of two choices to find an idle target.
MAX_SUBSET_SIZE = 20


def choose(
    own_id: str, serving: Sequence[records.NodeRecord]
) -> Sequence[records.NodeRecord]:
    """Returns at most 20 targets, the same ones for as long as they serve.

    The subsets differ between nodes, so that together they cover the service.
    A node whose local target is in the service is always in its subset.
    """
    if len(serving) <= MAX_SUBSET_SIZE:
        return serving
    ranked = sorted(
        serving,
        key=lambda record: (
            record.node_id != own_id,
            hashing.stable_hash(own_id, record.node_id),
        ),
    )
    return ranked[:MAX_SUBSET_SIZE]
