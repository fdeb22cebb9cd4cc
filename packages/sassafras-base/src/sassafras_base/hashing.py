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
    ranked = sorted(nodes, key=lambda node: (-stable_hash(key, node), node))
    return ranked[:count]
