"""Says once that the store is lost, and once that it is back."""

from sassafras_base import events
from sassafras_wire.store import client as store_client


@events.declare(842, "WARNING")
def store_lost(step: str, error: str) -> str:
    """The key-value store is not reached; what is known stays in use."""
    return f"store not reached at {step}: {error}"


@events.declare(843, "INFO")
def store_regained(step: str) -> str:
    """The key-value store is reached again."""
    return f"store reached again at {step}"


class Reach:
    """Whether one task reaches the store.

    Attributes:
      step: What the task does, for the log.
    """

    def __init__(self, step: str) -> None:
        self.step = step
        self._is_lost = False

    def lost(self, error: store_client.StoreUnavailableError) -> None:
        """Notes a call that failed."""
        if not self._is_lost:
            store_lost(self.step, str(error))
        self._is_lost = True

    def regained(self) -> None:
        """Notes a call that was answered."""
        if self._is_lost:
            store_regained(self.step)
        self._is_lost = False
