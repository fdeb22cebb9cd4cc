"""Introduces this node to the others before it uses a share of any rate.

It does so after its start, and again under each new lease of its entry: the
others may have taken its share over when the one before had ended.

A node divides rates by the nodes that it counts, so two nodes that do not count
each other admit more than the rate together. A new node uses nothing until each
node whose share shrinks by it has answered that it counts the new one. Where no
process listens at an address, none uses a share: the next one to start there
reads the entry of this node, and introduces itself in turn.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import enum

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.peers import link
from sassafras_node.mesh.store import members
from sassafras_node.mesh.store import outages
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages
from sassafras_wire.peer import link as links
from sassafras_wire.store import client as store_client

# A node that can be reached answers within milliseconds, and callers of this
# one wait while others are cut off or frozen. These are counted all the same.
_ANSWER_TIMEOUT_S = 0.4
# Delay until the first configuration names the rates that are divided.
_CONFIGURATION_INTERVAL_S = 0.02
_RETRY_S = 0.5


class Presence(enum.Enum):
    """What is known of another node after an attempt to reach it.

    One that is joining itself counts this node, but those that it has not been
    introduced to may use shares that this one takes over.
    """

    COUNTS = "counts"
    JOINING = "joining"
    ENDED = "ended"
    SILENT = "silent"


Introduction = Callable[
    [runtimes.Runtime, targets.NodeEntry], Coroutine[None, None, Presence]
]


@events.declare(852, "INFO")
def fleet_joined(counted: int, joining: int, ended: int, silent: int) -> str:
    """The node uses its share of rates from now on.

    `counted` nodes have answered that they count it, and so have `joining`
    nodes that use no share themselves yet. At `ended` addresses no process
    listens, and `silent` nodes did not answer.
    """
    return f"joined {counted} nodes; {joining} join, {silent} are silent"


async def run(
    runtime: runtimes.Runtime, introduction: Introduction | None = None
) -> None:
    """Joins the fleet under each lease of this node's entry until cancelled.

    Args:
      runtime: The node.
      introduction: Introduces the node to one other; over a link by default.
    """
    await runtime.members_read.wait()
    while runtime.routing is None:
        # Without rates there is nothing to divide, nor a request to admit.
        await trio.sleep(_CONFIGURATION_INTERVAL_S)
    outage_log = outages.OutageLog("joining")
    is_read = True
    while True:
        begun = runtime.lease_begun
        if not runtime.rate_lease.is_counted:
            if not is_read:
                await _read_members(runtime, outage_log)
            await _join(runtime, introduction or _introduce_over_link)
        is_read = False
        await begun.wait()


async def _read_members(
    runtime: runtimes.Runtime, outage_log: outages.OutageLog
) -> None:
    """Reads the entries after that of this node was written.

    Of two nodes with new leases, the later one knows the earlier so.
    """
    while True:
        try:
            await members.read_all(runtime)
        except store_client.StoreUnavailableError as error:
            outage_log.record_failure(error)
            await trio.sleep(_RETRY_S)
        else:
            outage_log.record_success()
            return


async def _join(runtime: runtimes.Runtime, introduction: Introduction) -> None:
    found: dict[str, Presence] = {}
    number = runtime.rate_lease.number

    async def introduce(entry: targets.NodeEntry) -> None:
        presence = await introduction(runtime, entry)
        found[entry.node_id] = presence
        if presence is Presence.ENDED:
            _drop_ended(runtime, entry.node_id)

    while missing := _missing(runtime, found):
        async with trio.open_nursery() as nursery:
            for entry in missing:
                nursery.start_soon(introduce, entry)
    if runtime.confirm_lease(number):
        presences = list(found.values())
        fleet_joined(*(presences.count(presence) for presence in Presence))


def _missing(
    runtime: runtimes.Runtime, found: dict[str, Presence]
) -> list[targets.NodeEntry]:
    """Returns the nodes to which this one must still be introduced."""
    unsure = frozenset(
        node_id
        for node_id, presence in found.items()
        if presence is not Presence.COUNTS
    )
    return [
        entry
        for node_id in sorted(runtime.rate_counterparts(unsure))
        if node_id not in found
        and (entry := runtime.fleet.get(node_id)) is not None
    ]


def _drop_ended(runtime: runtimes.Runtime, node_id: str) -> None:
    """Drops a node that has ended; its next process introduces itself."""
    runtime.fleet.drop(node_id)
    runtime.forget_node(node_id)
    runtime.ended_nodes[node_id] = (
        runtime.clock.now_with_suspend() + runtime.fleet.rewrite_timeout_s
    )


def presence_of(
    entry: targets.NodeEntry, answer: link_messages.StateUpdate
) -> Presence:
    """Returns what the answer at the address of a node shows."""
    if answer.entry.node_id != entry.node_id:
        # Another node has got the address of one that ended.
        return Presence.ENDED
    return Presence.COUNTS if answer.uses_rates else Presence.JOINING


async def _introduce_over_link(
    runtime: runtimes.Runtime, entry: targets.NodeEntry
) -> Presence:
    presence = Presence.SILENT
    with trio.move_on_after(_ANSWER_TIMEOUT_S):
        try:
            async with trio.open_nursery() as nursery:
                opened = await links.connect(
                    nursery, entry.link_address, _ANSWER_TIMEOUT_S
                )
                try:
                    presence = presence_of(
                        entry,
                        await link.introduce(runtime, opened, entry.node_id),
                    )
                finally:
                    with trio.CancelScope(shield=True):
                        await opened.abort()
                    nursery.cancel_scope.cancel()
        except* errors.RefusedError:
            presence = Presence.ENDED
        except* (errors.SassafrasError, trio.TooSlowError) as group:
            link.node_unreachable(entry.node_id, str(group.exceptions[0]))
    return presence
