"""What this node has seen of the targets of other nodes."""

import dataclasses

from sassafras_policy.calls import messages


@dataclasses.dataclass(slots=True)
class PeerView:
    """One target as seen from here."""

    in_flight: int = 0
    load: float = 0.0


class PeerViews:
    """Calls in flight and reported load for each peer."""

    def __init__(self) -> None:
        self._views: dict[str, PeerView] = {}

    def started(self, node_id: str) -> None:
        """Counts a call to a peer."""
        self._view(node_id).in_flight += 1

    def finished(self, node_id: str) -> None:
        """Ends the count of a call."""
        self._view(node_id).in_flight -= 1

    def heard(self, node_id: str, answer: messages.Answer) -> None:
        """Takes over the load that an answer carried."""
        self._view(node_id).load = answer.load

    def failed(self, node_id: str) -> None:
        """Notes that a call could not be completed."""
        self._view(node_id).load = 1.0

    def in_flight(self, node_id: str) -> int:
        """Returns this node's calls in flight at a peer."""
        return self._view(node_id).in_flight

    def load(self, node_id: str) -> float:
        """Returns the last load heard."""
        return self._view(node_id).load

    def _view(self, node_id: str) -> PeerView:
        return self._views.setdefault(node_id, PeerView())
