"""Notices when the store has come back from an older copy."""

import trio

from sassafras_base import events
from sassafras_node.mesh import interfaces
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


async def changes(
    runtime: runtimes.Runtime,
    prefix: str,
    after: eras.Position,
    wait_s: float,
) -> interfaces.Listing:
    """Returns changes of the store like `interfaces.Store.changes`.

    The call ends when this node learns otherwise of a new era, as a watch may
    stay open while the store comes back.

    Raises:
      HistoryLostError: The store no longer has these changes, or is in another
        era.
    """
    listing: interfaces.Listing | None = None
    failure: Exception = interfaces.HistoryLostError(prefix)
    async with trio.open_nursery() as nursery:

        async def end_at_return(changed: trio.Event) -> None:
            await changed.wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(end_at_return, runtime.era_changed)
        if after.era == runtime.store_era.era:
            try:
                listing = await runtime.platform.store.changes(
                    prefix, after, wait_s
                )
            except (
                interfaces.HistoryLostError,
                store_client.StoreUnavailableError,
            ) as error:
                # A nursery would put it into a group.
                failure = error
        nursery.cancel_scope.cancel()
    if listing is None:
        raise failure
    return listing


def _record(
    runtime: runtimes.Runtime, era: int, revision: int | None, source: str
) -> None:
    if runtime.record_era(era, revision):
        store_returned(era, source)
