"""Control link to one node, for status updates and configurations."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import configuration
from sassafras_node.mesh.store import eras
from sassafras_node.mesh.store import evacuations
from sassafras_node.mesh.store import members
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages
from sassafras_wire.peer import link as links

_CONNECT_TIMEOUT_S = 1.0
_RESPONSE_TIMEOUT_S = 1.5
_MIN_RETRY_S = 0.2
# Delay until a link notices that its ping interval has changed.
_MAX_WAIT_S = 1.0
_MAX_RETRY_S = 1.0


@events.declare(832, "WARNING")
def node_unreachable(node_id: str, error: str) -> str:
    """The control link to a node is lost; its target gets no calls."""
    return f"node {node_id} is unreachable: {error}"


@events.declare(833, "INFO")
def node_reached(node_id: str) -> str:
    """The control link to a node is open."""
    return f"control link to node {node_id} is open"


async def run(runtime: runtimes.Runtime, entry: targets.NodeEntry) -> None:
    """Keeps a control link to a node until cancelled."""
    retry_s = _MIN_RETRY_S
    reported = False
    while True:
        try:
            async with trio.open_nursery() as nursery:
                link = await links.connect(
                    nursery, entry.link_address, _CONNECT_TIMEOUT_S
                )
                try:
                    await _ping(runtime, link, entry.node_id)
                    node_reached(entry.node_id)
                    reported = False
                    retry_s = _MIN_RETRY_S
                    await _ping_and_receive(runtime, link, entry.node_id)
                finally:
                    with trio.CancelScope(shield=True):
                        await link.abort()
                    nursery.cancel_scope.cancel()
        except* (errors.SassafrasError, trio.TooSlowError) as group:
            error = group.exceptions[0]
            runtime.unusable_readers.add(entry.node_id)
            runtime.target_tracker.record_failure(entry.node_id)
            if not reported:
                node_unreachable(entry.node_id, str(error) or "silent")
                reported = True
        await trio.sleep(retry_s)
        retry_s = min(_MAX_RETRY_S, retry_s * 2)


async def _ping_and_receive(
    runtime: runtimes.Runtime, link: links.Link, node_id: str
) -> None:
    while True:
        pinged_at = trio.current_time()
        # The interval changes when the node becomes a reader of the zone.
        while (
            left_s := pinged_at
            + runtime.ping_interval_s(node_id)
            - trio.current_time()
        ) > 0:
            with trio.move_on_after(min(left_s, _MAX_WAIT_S)):
                message = await link.expect(link_messages.StateUpdate)
                _apply_update(runtime, message, None)
        await _ping(runtime, link, node_id)


async def introduce(
    runtime: runtimes.Runtime, link: links.Link, node_id: str
) -> link_messages.StateUpdate:
    """Makes another node count this one; returns its state."""
    return await _ping(
        runtime, link, node_id, link_messages.to_model(runtime.entry)
    )


async def _ping(
    runtime: runtimes.Runtime,
    link: links.Link,
    node_id: str,
    entry: link_messages.NodeEntryModel | None = None,
) -> link_messages.StateUpdate:
    is_candidate = node_id in runtime.readers.candidates
    sent_at = runtime.clock.now_with_suspend()
    number = link.next_call_id()
    with trio.fail_after(_RESPONSE_TIMEOUT_S):
        await link.send(
            link_messages.Ping(
                number=number,
                configuration_version=runtime.version,
                members_revision=(
                    runtime.members.revision if is_candidate else None
                ),
                members_era=runtime.members.position.era,
                store_era=runtime.store_era.era,
                entry=entry,
            )
        )
        message = await link.expect(link_messages.StateUpdate)
        while message.number != number:
            _apply_update(runtime, message, None)
            message = await link.expect(link_messages.StateUpdate)
    _apply_update(runtime, message, sent_at)
    return message


def _apply_update(
    runtime: runtimes.Runtime,
    message: link_messages.StateUpdate,
    sent_at: float | None,
) -> None:
    """Applies an update of the other node.

    Args:
      runtime: The node.
      message: The update.
      sent_at: When the ping that it answers was sent. An unsolicited update
        may have been in transit for any time, so it proves no age.
    """
    entry = link_messages.to_entry(message.entry)
    runtime.fleet.update(entry)
    runtime.rates.record_demand(entry.node_id, message.demand)
    eras.note_peer(runtime, message.store_era, entry.node_id)
    if message.reaches_store:
        runtime.unusable_readers.discard(entry.node_id)
    else:
        runtime.unusable_readers.add(entry.node_id)
    if message.members_revision:
        members.apply_relayed(
            runtime,
            link_messages.MembersUpdate(
                message.members_revision,
                message.members,
                message.members_since,
                message.removed_members,
                message.members_era,
            ),
            entry.node_id,
        )
    # Before the proof, which is one of the newest evacuations as well.
    evacuations.apply_relayed(
        runtime,
        message.evacuated_zones,
        message.evacuations_revision,
        message.evacuations_era,
        entry.node_id,
    )
    if message.configuration:
        configuration.offer(runtime, message.configuration, entry.node_id)
    if (
        sent_at is not None
        and message.configuration_version == runtime.version
        # A node of an earlier version knows no evacuations, and proves none.
        and message.evacuations_revision
    ):
        runtime.freshness.confirm(sent_at - message.confirmed_age_s)
