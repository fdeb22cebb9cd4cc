"""Which entries of the store have changed since one of its revisions.

A reader relays entries to every node of its zone. With the whole list for each
change, the messages would grow with the square of the fleet.
"""

# Bounds the memory where nodes come and go. A node that lacks more changes gets
# the whole list.
_MAX_KEYS = 1000


class ChangeLog:
    """The last change of each entry, from a known revision on."""

    def __init__(self) -> None:
        self._start: int | None = None
        self._revisions: dict[str, int] = {}

    def restart(self, revision: int) -> None:
        """Forgets all changes, as all entries are known at a revision."""
        self._start = revision
        self._revisions = {}

    def record(self, node_id: str, revision: int) -> None:
        """Records that an entry was written or removed."""
        if len(self._revisions) >= _MAX_KEYS:
            self.restart(revision)
        self._revisions[node_id] = revision

    def since(self, revision: int) -> frozenset[str] | None:
        """Returns the nodes whose entries changed after a revision.

        Returns:
          None if the log does not reach back to the revision.
        """
        if self._start is None or revision < self._start:
            return None
        return frozenset(
            node_id
            for node_id, changed in self._revisions.items()
            if changed > revision
        )
