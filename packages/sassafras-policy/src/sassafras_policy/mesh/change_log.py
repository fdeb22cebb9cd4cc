"""Which entries of the store have changed since one of its positions.

A reader relays entries to every node of its zone. With the whole list for each
change, the messages would grow with the square of the fleet.
"""

from sassafras_policy.mesh import eras

# Bounds the memory where nodes come and go. A node that lacks more changes gets
# the whole list.
_MAX_KEYS = 1000


class ChangeLog:
    """The last change of each entry, from a known position on."""

    def __init__(self) -> None:
        self._start: eras.Position | None = None
        self._changes: dict[str, eras.Position] = {}

    def restart(self, position: eras.Position) -> None:
        """Forgets all changes, as all entries are known at a position."""
        self._start = position
        self._changes = {}

    def record(self, node_id: str, position: eras.Position) -> None:
        """Records that an entry was written or removed."""
        if len(self._changes) >= _MAX_KEYS:
            self.restart(position)
        self._changes[node_id] = position

    def since(self, position: eras.Position) -> frozenset[str] | None:
        """Returns the nodes whose entries changed after a position.

        Returns:
          None if the log does not reach back to the position. It never reaches
          into an older era of the store.
        """
        if self._start is None or position < self._start:
            return None
        return frozenset(
            node_id
            for node_id, changed in self._changes.items()
            if changed > position
        )
