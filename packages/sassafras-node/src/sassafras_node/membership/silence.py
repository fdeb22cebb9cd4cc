"""When each neighbour was last heard."""


class SilenceTracker:
    """Times of the last message of each neighbour."""

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}

    def heard(self, node_id: str, now: float) -> None:
        """Notes a message of a node."""
        self._heard[node_id] = now

    def silent_s(self, node_id: str, now: float) -> float:
        """Returns seconds since the last message; 0 for a new neighbour."""
        return now - self._heard.setdefault(node_id, now)

    def keep_only(self, node_ids: set[str]) -> None:
        """Drops the nodes that are no longer neighbours."""
        self._heard = {
            node: at for node, at in self._heard.items() if node in node_ids
        }
