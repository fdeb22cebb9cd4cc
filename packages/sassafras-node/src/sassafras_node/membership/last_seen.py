"""Time of the last message from each neighbour."""


class LastSeenTracker:
    """Tracks when the last message from each neighbour was received."""

    def __init__(self) -> None:
        self._received_at: dict[str, float] = {}

    def record(self, node_id: str, now: float) -> None:
        """Records a message from a node."""
        self._received_at[node_id] = now

    def silent_s(self, node_id: str, now: float) -> float:
        """Returns seconds since the last message; 0 for a new neighbour."""
        return now - self._received_at.setdefault(node_id, now)

    def keep_only(self, node_ids: set[str]) -> None:
        """Removes the nodes that are no longer neighbours."""
        self._received_at = {
            node: at
            for node, at in self._received_at.items()
            if node in node_ids
        }
