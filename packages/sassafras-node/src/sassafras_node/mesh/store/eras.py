"""Notices when the store has come back from an older copy."""

from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.mesh import eras
from sassafras_wire.store import client as store_client


@events.declare(856, "WARNING")
def store_returned(era: int, source: str) -> str:
    """The store has come back from an older copy.

    What this node has written since is written again. `source` is `store` or
    the node that told it.
    """
    return f"the store is in era {era}, as {source} tells"


def note(
    runtime: runtimes.Runtime, era: int, revision: int | None, step: str
) -> None:
    """Records the era of a response of the store.

    Args:
      runtime: The node.
      era: The era that the response names.
      revision: Revision of the store in the response; None if unknown.
      step: What the caller does, for the error.

    Raises:
      StoreUnavailableError: The response is of an older era than the newest
        that is known; it was sent before the store came back.
    """
    if era < runtime.store_era.era:
        raise store_client.StoreUnavailableError(
            step,
            "store",
            f"response of era {era} after era {runtime.store_era.era}",
        )
    _record(runtime, era, revision, "store")


def note_position(
    runtime: runtimes.Runtime, position: eras.Position, step: str
) -> None:
    """Records the era and revision of a response of the store; see `note`."""
    note(runtime, position.era, position.revision, step)


def note_peer(runtime: runtimes.Runtime, era: int, node_id: str) -> None:
    """Records the era that another node knows of.

    A node that the store does not answer learns of a new era so.
    """
    _record(runtime, era, None, node_id)


def _record(
    runtime: runtimes.Runtime, era: int, revision: int | None, source: str
) -> None:
    if runtime.record_era(era, revision):
        store_returned(era, source)
