"""Logs once when a task loses the store and once when it is back."""

from sassafras_base import events
from sassafras_wire.store import client as store_client


@events.declare(842, "WARNING")
def store_lost(step: str, error: str) -> str:
    """The key-value store is unreachable; the last known state stays in use."""
    return f"store unreachable at {step}: {error}"


@events.declare(843, "INFO")
def store_regained(step: str) -> str:
    """The key-value store is reachable again."""
    return f"store reachable again at {step}"


class OutageLog:
    """Tracks whether one task can reach the store.

    Attributes:
      step: What the task does, for the log.
    """

    def __init__(self, step: str) -> None:
        self.step = step
        self._is_lost = False

    def record_failure(self, error: store_client.StoreUnavailableError) -> None:
        """Records a call that failed."""
        if not self._is_lost:
            store_lost(self.step, str(error))
        self._is_lost = True

    def record_success(self) -> None:
        """Records a call that succeeded."""
        if self._is_lost:
            store_regained(self.step)
        self._is_lost = False
