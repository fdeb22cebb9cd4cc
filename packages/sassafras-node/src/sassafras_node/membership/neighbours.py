"""The neighbours of a node on the ring of hashed ids."""

from sassafras_base import hashing

from sassafras_node import runtime as runtimes

NEIGHBOUR_COUNT = 3


def choose(runtime: runtimes.Runtime) -> list[str]:
    """Returns the successors on the ring, or the seeds when alone."""
    own_id = runtime.table.own_id
    peers = [record.node_id for record in runtime.table.peers]
    if not peers:
        return [s for s in runtime.settings.peers.seeds if s != own_id][
            :NEIGHBOUR_COUNT
        ]
    own_position = hashing.stable_hash(own_id)
    ring = sorted(
        peers,
        key=lambda node: (hashing.stable_hash(node) - own_position) % 2**64,
    )
    return ring[:NEIGHBOUR_COUNT]
