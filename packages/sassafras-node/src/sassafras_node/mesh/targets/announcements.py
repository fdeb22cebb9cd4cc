"""Serves the announcements of the local target on one connection."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node import http_session
from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import targets
from sassafras_wire.http import sockets

# Targets take an acknowledgement after a second for a missing one.
_STORE_TIMEOUT_S = 0.8


@events.declare(810, "INFO")
def target_announced(
    target_id: str, service: str, state: str, capacity: int, sequence: int
) -> str:
    """The local target has a new state."""
    return (
        f"target {target_id} of {service} is {state}, capacity {capacity},"
        f" announcement {sequence}"
    )


@events.declare(811, "INFO")
def announcement_outdated(target_id: str, sequence: int) -> str:
    """An announcement arrived late and changed nothing."""
    return f"announcement {sequence} of target {target_id} is outdated"


@events.declare(812, "WARNING")
def announcement_refused(peer: str, error: str) -> str:
    """An announcement names no usable target."""
    return f"announcement from {peer} refused: {error}"


@events.declare(813, "WARNING")
def announcement_deferred(target_id: str) -> str:
    """An announcement was not acknowledged, as the store is not reached.

    After a start, it may be an old one of a target that has left. A departure
    takes effect at once, but would be forgotten if this process ended.
    """
    return f"announcement of target {target_id} not acknowledged"


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves announcements until the target disconnects."""

    async def handle(request: messages.Request) -> messages.CallResponse:
        return await _handle(runtime, request, peer)

    await http_session.serve(
        runtime,
        stream,
        peer,
        handle,
        format_headers=runtime.platform.front_end.response_headers,
        group=runtime.connections.announcements,
    )


async def _handle(
    runtime: runtimes.Runtime, request: messages.Request, peer: str
) -> messages.CallResponse:
    try:
        message = runtime.platform.codecs.read_announcement(request)
    except errors.InvalidInputError as error:
        announcement_refused(peer, str(error))
        return messages.refusal(outcomes.Reason.BAD_REQUEST, 400, str(error))
    if message is None:
        return messages.refusal(
            outcomes.Reason.NO_ROUTE, 404, "no such call for targets"
        )
    announcement = message.announcement
    fault = _find_fault(runtime, announcement) if announcement else ""
    if fault:
        announcement_refused(peer, fault)
        return messages.refusal(outcomes.Reason.BAD_REQUEST, 400, fault)
    if await _record(runtime, message.target_id, announcement):
        return runtime.platform.codecs.acknowledgement()
    announcement_deferred(message.target_id)
    return messages.refusal(
        outcomes.Reason.NO_CONFIGURATION,
        503,
        "the store is not reached; announce again",
        retry_after_ms=messages.RETRY_AFTER_MS,
    )


def _find_fault(
    runtime: runtimes.Runtime, announcement: targets.Announcement
) -> str:
    host = runtime.settings.host
    return targets.find_fault(
        announcement,
        host.target_service,
        host.target_address,
        runtime.clock.wall() * 1000,
    )


async def _record(
    runtime: runtimes.Runtime,
    target_id: str,
    announcement: targets.Announcement | None,
) -> bool:
    """Applies a message of the target; returns whether to acknowledge it.

    Args:
      runtime: The node.
      target_id: The target.
      announcement: Its announcement; None for its deregistration.
    """
    if announcement is None:
        if runtime.target.mark_gone(target_id):
            target_announced(target_id, "", str(targets.State.GONE), 0, 0)
            runtime.publish_entry()
        return await _is_entry_stored(runtime)
    if announcement.state is not targets.State.READY:
        await _apply(runtime, announcement)
        return await _is_entry_stored(runtime)
    if not await _is_restored(runtime):
        return False
    await _apply(runtime, announcement)
    return True


async def _is_restored(runtime: runtimes.Runtime) -> bool:
    """Waits until the node knows what its previous process published."""
    if runtime.target.restored.is_set():
        return True
    with trio.move_on_after(_STORE_TIMEOUT_S):
        await runtime.target.restored.wait()
    return runtime.target.restored.is_set()


async def _is_entry_stored(runtime: runtimes.Runtime) -> bool:
    """Waits until the store has the current entry of this node.

    An acknowledged departure that only this process knows is lost with it.
    """
    number = runtime.entry.number
    with trio.move_on_after(_STORE_TIMEOUT_S):
        while runtime.stored_entry_number < number:
            await runtime.entry_stored.wait()
    return runtime.stored_entry_number >= number


async def _apply(
    runtime: runtimes.Runtime, announcement: targets.Announcement
) -> None:
    if await runtime.target.announce(announcement):
        target_announced(
            announcement.target_id,
            announcement.service,
            str(announcement.state),
            announcement.capacity,
            announcement.sequence,
        )
        runtime.publish_entry()
    elif runtime.target.announcement != announcement:
        announcement_outdated(announcement.target_id, announcement.sequence)
