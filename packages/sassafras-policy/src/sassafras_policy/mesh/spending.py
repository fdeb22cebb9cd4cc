"""The budget of further sends that all nodes share."""

from sassafras_policy.retries import guard

# The fleet's budget is cut into one part for each node. What a node counts as
# a window may lie across two windows of the observer, so a part is kept back.
_USED_SHARE = 0.7


class Spending:
    """Further sends of one node, counted by service.

    Each node spends a part of its own requests, and an equal part of what is
    allowed besides; the sums over all nodes then keep the shared budget.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """Sets the shared budget.

        Args:
          ratio: Further sends allowed for each request.
          extra: Further sends allowed in each window besides.
          window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._nodes = 1
        self._guards: dict[str, guard.RetryGuard] = {}

    def set_nodes(self, nodes: int) -> None:
        """Takes over the number of nodes that share the budget."""
        if nodes != self._nodes:
            self._nodes = nodes
            for entry in self._guards.values():
                entry.set_floor(self._floor)

    def count_request(self, service: str, now: float) -> None:
        """Counts a request for a service."""
        self._guard(service).first_attempt(now)

    def take(self, service: str, now: float) -> bool:
        """Returns whether one more send is allowed, and counts it."""
        return self._guard(service).take(now)

    @property
    def _floor(self) -> float:
        return self._extra * _USED_SHARE / self._nodes

    def _guard(self, service: str) -> guard.RetryGuard:
        entry = self._guards.get(service)
        if entry is None:
            entry = guard.RetryGuard(
                self._ratio * _USED_SHARE, self._floor, self._window_s
            )
            self._guards[service] = entry
        return entry
