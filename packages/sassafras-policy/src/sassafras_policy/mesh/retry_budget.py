"""The retry budget that all nodes share."""

from sassafras_policy.retries import guard

# A window of a node may overlap two of the windows in which the budget of the
# fleet is checked, so a part of the budget stays unused.
_SAFETY_FACTOR = 0.7


class RetryBudget:
    """The part of the shared retry budget that one node may use, by service.

    Each node may make retries in proportion to its own requests, or an equal
    share of the fixed extra if that is more. The sum over all nodes then stays
    within the budget.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """Sets the budget of the fleet.

        Args:
          ratio: Retries allowed for each request.
          extra: Retries allowed in each window in addition.
          window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._nodes = 1
        self._guards: dict[str, guard.RetryGuard] = {}

    def set_node_count(self, nodes: int) -> None:
        """Changes the number of nodes that share the budget."""
        if nodes != self._nodes:
            self._nodes = nodes
            for entry in self._guards.values():
                entry.set_floor(self._floor)

    def count_request(self, service: str, now: float) -> None:
        """Counts a request for a service."""
        entry = self._guards.get(service) or self._guard(service)
        entry.count_first_attempt(now)

    def take(self, service: str, now: float, stage: int = 0) -> bool:
        """Returns whether one more retry is allowed; see `RetryGuard.take`."""
        return self._guard(service).take(now, stage)

    @property
    def _floor(self) -> float:
        return self._extra * _SAFETY_FACTOR / self._nodes

    def _guard(self, service: str) -> guard.RetryGuard:
        entry = self._guards.get(service)
        if entry is None:
            entry = guard.RetryGuard(
                self._ratio * _SAFETY_FACTOR, self._floor, self._window_s
            )
            self._guards[service] = entry
        return entry
