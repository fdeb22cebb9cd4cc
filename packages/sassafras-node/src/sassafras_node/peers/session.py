"""The life of one connection from another node."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.calls import inbound
from sassafras_node.peers import handlers
from sassafras_policy.calls import messages
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# Longer than the way to the first node and back at depth 10 across regions;
# a retry that has to wait longer comes too late for most deadlines.
ASK_TIMEOUT_S = 1.0


@events.declare(203, "WARNING")
def peer_refused(peer: str, error: str) -> str:
    """A connection to the peer listener was refused or broke the protocol.

    Repeated refusals mean a node with another secret, or a stranger.
    """
    return f"peer connection from {peer} refused: {error}"


class RemoteAuthority:
    """Asks the first node for retries, over the call's own connection.

    An ask has an id, and only a grant with that id answers it. A grant that
    is lost or late has been counted at the first node and is not used, so
    faults on the way can only lower the number of retries. After one no, or
    one ask without an answer, the call asks no more: an allowance never
    grows, and each further wait would delay the failing call.
    """

    def __init__(self, link: links.Link, call_id: int) -> None:
        self._link = link
        self._call_id = call_id
        self._ask_id = 0
        self._answered = trio.Event()
        self._granted = False
        self._exhausted = False
        self._turn = trio.Lock()

    async def ask(self) -> bool:
        """See contexts.RetryAuthority; a lost link and silence mean no."""
        with trio.move_on_after(ASK_TIMEOUT_S):
            async with self._turn:
                if self._exhausted:
                    return False
                # Holds unless the answer below is yes, also when the wait
                # ends by cancellation.
                self._exhausted = True
                self._ask_id += 1
                self._answered = trio.Event()
                self._granted = False
                if await self._send_ask():
                    await self._answered.wait()
                self._exhausted = not self._granted
                return self._granted
        return False

    def granted(self, grant: models.RetryGrant) -> None:
        """Takes the answer to the current ask; others are ignored."""
        if (grant.call_id, grant.ask_id) != (self._call_id, self._ask_id):
            return
        if not self._answered.is_set():
            self._granted = grant.granted
            self._answered.set()

    async def _send_ask(self) -> bool:
        ask = models.RetryAsk(call_id=self._call_id, ask_id=self._ask_id)
        # A send that is cancelled in the middle of a frame would spoil the
        # link for the answer of the call, hence the shield.
        with trio.move_on_after(ASK_TIMEOUT_S, shield=True):
            try:
                await self._link.send(ask)
            except errors.ConnectionLostError:
                return False
            return True
        with trio.CancelScope(shield=True):
            await self._link.abort()
        return False


class Incoming:
    """Reads one connection, whether or not a call is being served on it.

    Grants go to the call in progress. A lost connection ends that call.
    """

    def __init__(self, link: links.Link) -> None:
        self._link = link
        self._send, self._messages = trio.open_memory_channel[models.Message](0)
        self._call: RemoteAuthority | None = None
        self._scope: trio.CancelScope | None = None
        self._error: errors.SassafrasError | None = None

    async def run(self) -> None:
        """Reads messages until the connection ends."""
        try:
            while True:
                message = await self._link.receive()
                if isinstance(message, models.RetryGrant):
                    # Without a call, it came after its ask had timed out.
                    if self._call is not None:
                        self._call.granted(message)
                elif self._scope is not None:
                    raise errors.ProtocolError(
                        "peer.call",
                        self._link.address,
                        f"{message.type!r} came before the call's answer",
                    )
                else:
                    await self._send.send(message)
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            trio.BrokenResourceError,
        ) as error:
            if isinstance(error, errors.SassafrasError):
                self._error = error
            self._send.close()
            if self._scope is not None:
                self._scope.cancel()

    async def receive(self) -> models.Message:
        """Returns the next message that is no grant.

        Raises:
          ConnectionLostError: The connection is closed.
          ProtocolError: The peer broke the protocol.
        """
        try:
            return await self._messages.receive()
        except trio.EndOfChannel:
            raise self._ended() from None

    async def serve_call(
        self, runtime: runtimes.Runtime, message: models.Call
    ) -> messages.Answer:
        """Serves a call, and stops when the connection ends.

        Raises:
          ConnectionLostError: The peer left during its call.
          ProtocolError: The peer broke the protocol during its call.
        """
        if self._error is not None:
            raise self._error
        self._call = RemoteAuthority(self._link, message.call_id)
        try:
            with trio.CancelScope() as self._scope:
                return await inbound.handle_peer_call(
                    runtime, message, self._call
                )
        finally:
            self._call = self._scope = None
        raise self._ended()

    def _ended(self) -> errors.SassafrasError:
        return self._error or errors.ConnectionLostError(
            "peer.call", self._link.address, "the connection ended"
        )


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Serves calls and control messages until the peer disconnects."""
    async with trio.open_nursery() as nursery:
        try:
            link = await links.accept_link(
                nursery, stream, peer, runtime.credentials
            )
            incoming = Incoming(link)
            nursery.start_soon(incoming.run)
            last_call_id = 0
            while True:
                message = await incoming.receive()
                if isinstance(message, models.Call):
                    if message.call_id <= last_call_id:
                        raise errors.ProtocolError(
                            "peer.call", peer, "a call id was used twice"
                        )
                    last_call_id = message.call_id
                    await _serve_call(runtime, link, incoming, message)
                else:
                    await _serve_control(runtime, link, message)
        except errors.ConnectionLostError:
            pass
        except (errors.ProtocolError, errors.AuthenticationError) as error:
            peer_refused(peer, str(error))
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()


async def _serve_control(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> None:
    if message.type not in handlers.message_handlers:
        raise errors.ProtocolError(
            "peer.receive", link.address, f"unexpected {message.type!r}"
        )
    handler = handlers.message_handlers.get(message.type)
    reply = await handler(runtime, link, message)
    if reply is not None:
        await link.send(reply)


async def _serve_call(
    runtime: runtimes.Runtime,
    link: links.Link,
    incoming: Incoming,
    message: models.Call,
) -> None:
    runtime.drain.enter()
    try:
        answer = await incoming.serve_call(runtime, message)
        await link.send(converters.answer_to_message(message.call_id, answer))
    finally:
        runtime.drain.leave()
