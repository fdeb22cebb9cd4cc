"""Serves connections from other nodes."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.calls import peer_calls
from sassafras_node.peers import handlers
from sassafras_policy.calls import messages
from sassafras_wire.http import sockets
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# Longer than a round trip to the first node at depth 10 across regions. A
# retry that has to wait longer misses most deadlines.
RETRY_REQUEST_TIMEOUT_S = 1.0


@events.declare(203, "WARNING")
def peer_refused(peer: str, error: str) -> str:
    """A connection to the peer listener was refused or broke the protocol.

    Repeated refusals point to a node with another secret or a foreign client.
    """
    return f"peer connection from {peer} refused: {error}"


class RemoteAuthority:
    """Requests retries from the first node, over the call's own connection.

    A retry request has an id, and only a grant with that id answers it. A
    grant that is lost or late has been counted at the first node and is not
    used, so faults in between can only lower the number of retries. After one
    denial or timeout the call sends no more requests: an allowance never
    grows, and each further wait would delay the failing call.
    """

    def __init__(self, link: links.Link, call_id: int) -> None:
        self._link = link
        self._call_id = call_id
        self._request_id = 0
        self._replied = trio.Event()
        self._granted = False
        self._exhausted = False
        self._lock = trio.Lock()

    async def request_retry(self) -> bool:
        """See contexts.RetryAuthority; a lost link or a timeout is a denial."""
        with trio.move_on_after(RETRY_REQUEST_TIMEOUT_S):
            async with self._lock:
                if self._exhausted:
                    return False
                # Stays set unless a retry is granted below, also when the
                # wait is cancelled.
                self._exhausted = True
                self._request_id += 1
                self._replied = trio.Event()
                self._granted = False
                if await self._send_request():
                    await self._replied.wait()
                self._exhausted = not self._granted
                return self._granted
        return False

    def granted(self, grant: models.RetryGrant) -> None:
        """Records the grant for the current request; ignores others."""
        if (grant.call_id, grant.ask_id) != (self._call_id, self._request_id):
            return
        if not self._replied.is_set():
            self._granted = grant.granted
            self._replied.set()

    async def _send_request(self) -> bool:
        request = models.RetryRequest(
            call_id=self._call_id, ask_id=self._request_id
        )
        # A send cancelled in the middle of a frame would corrupt the link for
        # the call's response, hence the shield.
        with trio.move_on_after(RETRY_REQUEST_TIMEOUT_S, shield=True):
            try:
                await self._link.send(request)
            except errors.ConnectionLostError:
                return False
            return True
        with trio.CancelScope(shield=True):
            await self._link.abort()
        return False


class LinkReader:
    """Reads one connection, also while a call is being served on it.

    Grants go to the call in progress. A lost connection cancels that call.
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
                    # Without a call, its request had already timed out.
                    if self._call is not None:
                        self._call.granted(message)
                elif self._scope is not None:
                    raise errors.ProtocolError(
                        "peer.call",
                        self._link.address,
                        f"{message.type!r} received before the call's response",
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
        """Returns the next message that is not a grant.

        Raises:
          ConnectionLostError: The connection is closed.
          ProtocolError: The peer broke the protocol.
        """
        try:
            return await self._messages.receive()
        except trio.EndOfChannel:
            raise self._end_error() from None

    async def serve_call(
        self, runtime: runtimes.Runtime, message: models.Call
    ) -> messages.CallResponse:
        """Serves a call; cancels it when the connection ends.

        Raises:
          ConnectionLostError: The peer disconnected during its call.
          ProtocolError: The peer broke the protocol during its call.
        """
        if self._error is not None:
            raise self._error
        self._call = RemoteAuthority(self._link, message.call_id)
        try:
            with trio.CancelScope() as self._scope:
                return await peer_calls.handle_peer_call(
                    runtime, message, self._call
                )
        finally:
            self._call = self._scope = None
        raise self._end_error()

    def _end_error(self) -> errors.SassafrasError:
        return self._error or errors.ConnectionLostError(
            "peer.call", self._link.address, "the connection ended"
        )


async def serve(
    runtime: runtimes.Runtime, stream: sockets.SocketStream, peer: str
) -> None:
    """Serves calls and control messages until the peer disconnects."""
    async with trio.open_nursery() as nursery:
        try:
            link = await links.accept_link(
                nursery, stream, peer, runtime.credentials
            )
            reader = LinkReader(link)
            nursery.start_soon(reader.run)
            last_call_id = 0
            while True:
                message = await reader.receive()
                if isinstance(message, models.Call):
                    if message.call_id <= last_call_id:
                        raise errors.ProtocolError(
                            "peer.call", peer, "a call id was used twice"
                        )
                    last_call_id = message.call_id
                    await _serve_call(runtime, link, reader, message)
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
    reader: LinkReader,
    message: models.Call,
) -> None:
    runtime.drain.enter()
    try:
        response = await reader.serve_call(runtime, message)
        await link.send(
            converters.response_to_message(message.call_id, response)
        )
    finally:
        runtime.drain.leave()
