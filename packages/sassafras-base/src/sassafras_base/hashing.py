"""Hashes that are stable across processes and Python versions."""

from collections.abc import Iterable
import hashlib


def digest(secret: str) -> str:
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def stable_hash(*parts: str) -> int:
    """Returns a 64-bit hash of the parts."""
    joined = "\x00".join(parts).encode()
    raw = hashlib.blake2b(joined, digest_size=8).digest()
    return int.from_bytes(raw, "big")


def rendezvous(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Returns the `count` nodes with the highest weight for `key`.

    This is rendezvous hashing: adding or removing a node changes the result
    only for the keys that this node gains or loses.
    """
    return sorted(nodes, key=lambda node: _rank(key, node))[:count]


class RendezvousTable:
    """The node with the highest weight for each of many keys.

    Gives the same nodes as `rendezvous`, and computes only the weights of nodes
    that have joined, and all weights of keys whose node has left.
    """

    def __init__(self) -> None:
        self._nodes: frozenset[str] = frozenset()
        self._best: dict[str, tuple[int, str]] = {}

    def update(
        self, keys: Iterable[str], nodes: Iterable[str]
    ) -> dict[str, str]:
        """Returns the node of each key.

        Args:
          keys: The keys; others are forgotten.
          nodes: The nodes, of which there is at least one.
        """
        current = frozenset(nodes)
        joined = current - self._nodes
        best: dict[str, tuple[int, str]] = {}
        for key in keys:
            previous = self._best.get(key)
            if previous is None or previous[1] not in current:
                best[key] = min(_rank(key, node) for node in current)
            else:
                ranks = (_rank(key, node) for node in joined)
                best[key] = min(previous, *ranks) if joined else previous
        self._nodes = current
        self._best = best
        return {key: node for key, (_, node) in best.items()}


def _rank(key: str, node: str) -> tuple[int, str]:
    return -stable_hash(key, node), node
