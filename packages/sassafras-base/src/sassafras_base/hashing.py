"""Hashes that are the same in every process and Python version."""

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

    Adding or removing one node changes the result only for the keys that the
    node wins or held.
    """
    ranked = sorted(nodes, key=lambda node: (-stable_hash(key, node), node))
    return ranked[:count]
