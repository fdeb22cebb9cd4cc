"""The life of one connection from another node."""

from sassafras_base import errors
from sassafras_base import events
from sassafras_policy.calls import messages
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models
import trio

from sassafras_node import runtime as runtimes
from sassafras_node.calls import inbound
from sassafras_node.peers import handlers


@events.declare(203, "WARNING")
def peer_refused(peer: str, error: str) -> str:
    """A connection to the peer listener was refused or broke the protocol.

    Repeated refusals mean a node with another secret, or a stranger.
    """
    return f"peer connection from {peer} refused: {error}"


class RemoteAuthority:
    """Asks the first node for retries, over the call's own connection."""

    def __init__(self, link: links.Link, call_id: int) -> None:
        self._link = link
        self._call_id = call_id
        self._send, self._receive = trio.open_memory_channel[bool](1)
        self._turn = trio.Lock()

    async def ask(self) -> bool:
        """See contexts.RetryAuthority; a lost link means no."""
        async with self._turn:
            try:
                await self._link.send(models.RetryAsk(call_id=self._call_id))
            except errors.ConnectionLostError:
                return False
            return await self._receive.receive()

    def granted(self, grant: models.RetryGrant) -> None:
        """Passes on the answer to the current ask; others are ignored."""
        if grant.call_id != self._call_id:
            return
        try:
            self._send.send_nowait(grant.granted)
        except trio.WouldBlock:
            return


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Serves calls and control messages until the peer disconnects."""
    async with trio.open_nursery() as nursery:
        try:
            link = await links.accept_link(
                nursery, stream, peer, runtime.credentials
            )
            while True:
                message = await link.receive()
                if isinstance(message, models.Call):
                    await _serve_call(runtime, link, message)
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
    runtime: runtimes.Runtime, link: links.Link, message: models.Call
) -> None:
    authority = RemoteAuthority(link, message.call_id)
    answer: messages.Answer | None = None
    runtime.drain.enter()
    try:
        async with trio.open_nursery() as nursery:

            async def listen() -> None:
                """Passes grants on; ends the call when the peer is gone."""
                try:
                    while True:
                        reply = await link.receive()
                        if not isinstance(reply, models.RetryGrant):
                            break
                        authority.granted(reply)
                except (errors.ConnectionLostError, errors.ProtocolError):
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(listen)
            answer = await inbound.handle_peer_call(runtime, message, authority)
            nursery.cancel_scope.cancel()
        if answer is None:
            raise errors.ConnectionLostError(
                "peer.call", link.address, "the peer left during its call"
            )
        await link.send(converters.answer_to_message(message.call_id, answer))
    finally:
        runtime.drain.leave()
