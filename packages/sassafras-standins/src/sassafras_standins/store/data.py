"""Keys with revisions and leases, and a log of changes, in memory."""

import dataclasses
import itertools

import trio


@dataclasses.dataclass(slots=True)
class Entry:
    """The current value of a key."""

    value: bytes
    mod_revision: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; `value` is None if it was deleted."""

    revision: int
    key: bytes
    value: bytes | None


class KeyValueData:
    """A key-value store with compare-and-swap and leases.

    Attributes:
      revision: Revision of the last change.
      entries: Current value of each key.
      log: All changes, in order.
      changed: Set at the next change, and then replaced.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.log: list[Change] = []
        self.changed = trio.Event()
        self._leases: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(1000)

    def find(self, key: bytes, range_end: bytes) -> list[tuple[bytes, Entry]]:
        """Returns a key, or the keys from `key` up to `range_end`."""
        self.expire()
        if not range_end:
            entry = self.entries.get(key)
            return [(key, entry)] if entry else []
        return sorted(
            (
                (name, entry)
                for name, entry in self.entries.items()
                if key <= name < range_end
            ),
            key=lambda pair: pair[0],
        )

    def put_if(
        self, key: bytes, value: bytes, mod_revision: int, lease: int
    ) -> bool:
        """Writes a key if its revision is `mod_revision` (0: absent)."""
        self.expire()
        entry = self.entries.get(key)
        if (entry.mod_revision if entry else 0) != mod_revision:
            return False
        if lease and lease not in self._leases:
            return False
        self.revision += 1
        self.entries[key] = Entry(value, self.revision, lease)
        self._record(Change(self.revision, key, value))
        return True

    def delete(self, key: bytes) -> int:
        """Deletes a key; returns the number of deleted keys."""
        self.expire()
        if self.entries.pop(key, None) is None:
            return 0
        self.revision += 1
        self._record(Change(self.revision, key, None))
        return 1

    def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        lease = next(self._ids)
        self._leases[lease] = (ttl_s, trio.current_time() + ttl_s)
        return lease

    def renew(self, lease: int) -> float:
        """Renews a lease; returns its TTL, or 0 if it has expired."""
        self.expire()
        if lease not in self._leases:
            return 0.0
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, trio.current_time() + ttl_s)
        return ttl_s

    def revoke(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self._leases.pop(lease, None)
        keys = [k for k, e in self.entries.items() if e.lease == lease]
        for key in keys:
            del self.entries[key]
            self.revision += 1
            self._record(Change(self.revision, key, None))

    def expire(self) -> None:
        """Revokes the leases that have expired."""
        now = trio.current_time()
        expired = [
            lease for lease, (_, end) in self._leases.items() if end <= now
        ]
        for lease in expired:
            self.revoke(lease)

    def _record(self, change: Change) -> None:
        self.log.append(change)
        changed, self.changed = self.changed, trio.Event()
        changed.set()
