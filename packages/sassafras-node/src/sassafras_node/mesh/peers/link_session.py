"""Serves one control link that another node has opened."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_base import registry
from sassafras_node import slow_sends
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.store import eras as store_eras
from sassafras_policy.admission import memory as memories
from sassafras_policy.mesh import eras
from sassafras_wire.http import sockets
from sassafras_wire.mesh import link_messages
from sassafras_wire.peer import bounded_stream
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models
from sassafras_wire.store import client as store_client

_UPGRADE_TIMEOUT_S = 2.0
# Links for updates carry regular pings, and the other side closes idle links
# for token requests, so a longer silence means a lost link.
_SILENCE_TIMEOUT_S = 40.0
# Pings and requests for tokens have fewer than a thousand bytes.
_MAX_MESSAGE_BYTES = 16 * 1024
# The other side waits less long for the response to a ping.
_SEND_TIMEOUT_S = 2.0
_NO_MEMBERS = link_messages.MembersUpdate(0, b"")


@events.declare(831, "INFO")
def link_lost(peer: str, error: str) -> str:
    """A control link that another node had opened has ended."""
    return f"link from {peer} lost: {error}"


@events.declare(855, "INFO")
def renewal_for_peer_failed(error: str) -> str:
    """This node could not renew the lease of another one, and tells it so."""
    return f"lease of another node is not renewed: {error}"


@dataclasses.dataclass(slots=True)
class _Subscriber:
    """What the other node has, by its pings and the updates since.

    Attributes:
      version: Version of its configuration.
      members_position: Position of the store of its entries; None if it does
        not ask for them.
      is_relayed: Whether changes of either are sent to it.
    """

    version: int = 0
    members_position: eras.Position | None = None
    is_relayed: bool = False


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Responds to messages; sends an update when this node's entry changes.

    A node of the same zone that takes this one for a reader of the store gets
    its changes as well.
    """
    group = runtime.connections.links
    memory = runtime.response_budget.open()
    _LinkSends(runtime, stream, memory)
    bounded = bounded_stream.BoundedStream(stream)
    link: links.Link | None = None
    async with trio.open_nursery() as nursery:
        try:
            link = await links.upgrade(
                nursery,
                bounded,
                peer,
                _UPGRADE_TIMEOUT_S,
                max_bytes=_MAX_MESSAGE_BYTES,
            )
            bounded.is_upgraded = True
            subscribed = False
            subscriber = _Subscriber()
            while True:
                with trio.fail_after(_SILENCE_TIMEOUT_S):
                    message = await link.receive()
                # The link that has been silent for the longest comes first.
                group.proceed(stream)
                group.wait(stream)
                if isinstance(message, link_messages.Ping) and not subscribed:
                    subscribed = True
                    nursery.start_soon(_send_updates, runtime, link)
                if isinstance(message, link_messages.Ping):
                    subscriber.version = message.configuration_version
                    subscriber.members_position = _members_position(message)
                    if subscriber.members_position is not None and (
                        not subscriber.is_relayed
                    ):
                        subscriber.is_relayed = True
                        nursery.start_soon(_relay, runtime, link, subscriber)
                await _send_answer(runtime, link, message)
        except (errors.SassafrasError, trio.TooSlowError) as error:
            link_lost(peer, str(error) or "silent")
        finally:
            runtime.idle_deadlines.clear(stream)
            memory.release()
        nursery.cancel_scope.cancel()
    if link is not None:
        link.forget_failure()


class _LinkSends(slow_sends.SlowSends):
    """Reserves the memory of messages that a link does not read.

    A node without the newest configuration gets the whole document, and may
    ask for it again.
    """

    def __init__(
        self,
        runtime: runtimes.Runtime,
        stream: sockets.SocketStream,
        memory: memories.Reservation,
    ) -> None:
        super().__init__(
            stream,
            runtime.connections.links,
            runtime.idle_deadlines,
            lambda: _SEND_TIMEOUT_S,
            memory,
        )
        self._link = stream
        self._held = memory

    def send_blocked(self, size: int) -> None:
        """See sockets.SendObserver."""
        super().send_blocked(size)
        if not self._held.grow(size):
            self._link.close()

    def send_ended(self) -> None:
        """See sockets.SendObserver."""
        super().send_ended()
        self._held.release()


async def _send_answer(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> None:
    """Answers a message; few links get the whole configuration at once."""
    if (
        isinstance(message, link_messages.Ping)
        and message.configuration_version < runtime.version
    ):
        async with runtime.connections.document_sends:
            await link.send(await _answer(runtime, link, message))
    else:
        await link.send(await _answer(runtime, link, message))


Handler = Callable[
    [runtimes.Runtime, models.Message], Awaitable[models.Message]
]

message_handlers: registry.Registry[Handler] = registry.Registry(
    "mesh message handler"
)


async def _answer(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message:
    if message.type not in message_handlers:
        raise errors.ProtocolError(
            "peer.receive", link.address, f"unexpected {message.type!r}"
        )
    return await message_handlers.get(message.type)(runtime, message)


@message_handlers.register("mesh_ping")
async def _answer_ping(
    runtime: runtimes.Runtime, message: models.Message
) -> models.Message:
    assert isinstance(message, link_messages.Ping)
    store_eras.note_peer(runtime, message.store_era, "another node")
    if message.entry is not None:
        # From now on this node leaves the share of the other to it.
        runtime.fleet.update(link_messages.to_entry(message.entry))
        runtime.configure_limiter()
    return node_update(
        runtime,
        message.configuration_version,
        message.number,
        _members_position(message),
    )


def _members_position(message: link_messages.Ping) -> eras.Position | None:
    if message.members_revision is None:
        return None
    return eras.Position(message.members_era, message.members_revision)


@message_handlers.register("token_ask")
async def _answer_token_ask(
    runtime: runtimes.Runtime, message: models.Message
) -> models.Message:
    assert isinstance(message, models.TokenRequestMessage)
    grant = runtime.limit_gate.grant_tokens(
        message.organisation, message.wanted
    )
    if not grant.has_pool:
        outcome = "no-pool"
    elif grant.granted < message.wanted:
        outcome = "short"
    else:
        outcome = "granted"
    runtime.measurements.count("token_requests", outcome)
    return converters.grant_to_message(message.number, grant)


@message_handlers.register("mesh_renew")
async def _renew_lease(
    runtime: runtimes.Runtime, message: models.Message
) -> models.Message:
    """Renews the lease of a node that the store does not answer."""
    assert isinstance(message, link_messages.RenewLease)
    not_renewed = link_messages.LeaseRenewal(
        number=message.number, is_answered=False
    )
    if message.era != runtime.store_era.era:
        # The lease may be that of another node by now.
        renewal_for_peer_failed(f"it is of era {message.era}")
        return not_renewed
    try:
        renewed = await runtime.platform.store.renew_lease(message.lease)
        store_eras.note(runtime, renewed.era, None, "lease.renew")
    except store_client.StoreUnavailableError as error:
        renewal_for_peer_failed(str(error))
        return not_renewed
    return link_messages.LeaseRenewal(
        number=message.number,
        is_answered=True,
        lease=renewed.number,
        era=renewed.era,
    )


async def _send_updates(runtime: runtimes.Runtime, link: links.Link) -> None:
    while True:
        await runtime.entry_changed.wait()
        try:
            await link.send(node_update(runtime, runtime.version))
        except errors.ConnectionLostError:
            # The session reads from the same link and reports its end.
            return


async def _relay(
    runtime: runtimes.Runtime, link: links.Link, subscriber: _Subscriber
) -> None:
    """Sends the configuration and the entries that this node has read."""
    while True:
        await runtime.relay_changed.wait()
        if subscriber.members_position is None:
            continue
        update = node_update(
            runtime,
            subscriber.version,
            members_position=subscriber.members_position,
        )
        subscriber.version = runtime.version
        subscriber.members_position = runtime.members.position
        try:
            await link.send(update)
        except errors.ConnectionLostError:
            # The session reads from the same link and reports its end.
            return


def node_update(
    runtime: runtimes.Runtime,
    known_version: int,
    number: int = 0,
    members_position: eras.Position | None = None,
) -> link_messages.StateUpdate:
    """Returns the current state of this node for another node.

    Args:
      runtime: The node.
      known_version: Configuration version of the other node.
      number: Number of the ping that is answered; 0 for none.
      members_position: Position of the store of the other node's entries; None
        if it does not ask for them.
    """
    members = _NO_MEMBERS
    # The other node may not know the reader of the zone yet, so it is answered
    # by each node that has newer entries.
    if (
        members_position is not None
        and members_position < runtime.members.position
    ):
        members = runtime.members.after(
            members_position, runtime.entry, runtime.fleet
        )
    age_s = runtime.freshness.age_s(runtime.clock.now_with_suspend())
    return link_messages.StateUpdate(
        number=number,
        entry=link_messages.to_model(runtime.entry),
        load=runtime.target.gate.load,
        configuration_version=runtime.version,
        confirmed_age_s=age_s,
        demand=runtime.rates.demand,
        reaches_store=runtime.reaches_store,
        members_revision=members.revision,
        members=members.members,
        members_since=members.since,
        removed_members=members.removed,
        evacuated_zones=tuple(sorted(runtime.evacuations.zones)),
        evacuations_revision=runtime.evacuations.revision,
        evacuations_era=runtime.evacuations.era,
        members_era=members.era,
        store_era=runtime.store_era.era,
        uses_rates=runtime.rate_lease.is_counted,
        configuration=(
            runtime.document if runtime.version > known_version else b""
        ),
    )
