"""Pools of call connections to peers, with one call at a time on each."""

from collections.abc import AsyncIterator
import contextlib
from typing import TypeVar

import trio

from sassafras_base import errors
from sassafras_node.calls import contexts
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

M = TypeVar("M", bound=models.Message)


class PeerPools:
    """Keeps idle call connections for each peer."""

    def __init__(
        self, credentials: links.Credentials, connections_per_peer: int
    ) -> None:
        self._credentials = credentials
        self._connections_per_peer = connections_per_peer
        self._idle: dict[str, list[links.Link]] = {}
        self._permits: dict[str, trio.CapacityLimiter] = {}
        self._nursery: trio.Nursery | None = None
        self._exchanges: set[trio.CancelScope] = set()

    async def run_readers(self) -> None:
        """Holds the nursery of the connections' readers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None
                idle = [link for group in self._idle.values() for link in group]
                self._idle.clear()
                # Without its reader a connection does not report its end, so
                # calls on it would wait until their deadlines.
                for scope in self._exchanges:
                    scope.cancel()
                for link in idle:
                    await _abort(link)

    async def call(
        self,
        node_id: str,
        message: models.Call,
        call: contexts.ActiveCall,
    ) -> models.AnswerMessage:
        """Sends a call to a peer and returns its response.

        Meanwhile it forwards retry requests to the authority of the call. The
        progress of the call records whether sending began.

        Raises:
          UnreachableError: The peer could not be reached; nothing was sent.
          ConnectionLostError: The connection ended; the call may have run.
          ProtocolError: The peer broke the protocol; the call may have run.
        """
        async with self._link(node_id) as link:
            return await _exchange(link, message, call)

    async def exchange(
        self, node_id: str, message: models.Message, kind: type[M]
    ) -> M:
        """Sends a control message to a peer and returns its reply.

        Raises:
          UnreachableError: The peer could not be reached.
          ConnectionLostError: The connection ended.
          ProtocolError: The peer broke the protocol.
        """
        async with self._link(node_id) as link:
            await link.send(message)
            return await link.expect(kind)

    @contextlib.asynccontextmanager
    async def _link(self, node_id: str) -> AsyncIterator[links.Link]:
        """Provides a pooled connection; closes it if its exchange fails."""
        permits = self._permits.get(node_id)
        if permits is None:
            permits = trio.CapacityLimiter(self._connections_per_peer)
            self._permits[node_id] = permits
        # A task that holds a permit may make a sub-call, so permits belong to
        # the call and not to the task.
        permit_owner = object()
        await permits.acquire_on_behalf_of(permit_owner)
        try:
            link: links.Link | None = None
            is_done = False
            scope = trio.CancelScope()
            self._exchanges.add(scope)
            try:
                with scope:
                    link = await self._take(node_id)
                    yield link
                    is_done = True
            except BaseException:
                await _abort(link)
                raise
            finally:
                self._exchanges.discard(scope)
            if not is_done or link is None:
                await _abort(link)
                raise _restarting(node_id, sent=link is not None)
            self._idle.setdefault(node_id, []).append(link)
        finally:
            permits.release_on_behalf_of(permit_owner)

    async def drop(self, node_id: str) -> None:
        """Closes the idle connections to a peer that is gone."""
        for link in self._idle.pop(node_id, []):
            await link.abort()

    async def _take(self, node_id: str) -> links.Link:
        idle = self._idle.get(node_id, [])
        while idle:
            link = idle.pop()
            if link.is_open:
                return link
        if self._nursery is None:
            raise _restarting(node_id, sent=False)
        return await links.open_link(self._nursery, node_id, self._credentials)


async def _abort(link: links.Link | None) -> None:
    if link is not None:
        with trio.CancelScope(shield=True):
            await link.abort()


def _restarting(node_id: str, *, sent: bool) -> errors.SassafrasError:
    kind = errors.ConnectionLostError if sent else errors.UnreachableError
    return kind("peer.call", node_id, "this node's peer tasks are restarting")


async def _exchange(
    link: links.Link, message: models.Call, call: contexts.ActiveCall
) -> models.AnswerMessage:
    call_id = link.next_call_id()
    if not link.is_open:
        raise errors.UnreachableError(
            "peer.call", link.address, "the link closed before sending"
        )
    call.progress.may_have_run = True
    await link.send(message.model_copy(update={"call_id": call_id}))
    grant = models.RetryGrant(call_id=call_id, ask_id=0, granted=False)
    while True:
        reply = await link.receive()
        if isinstance(reply, models.RetryRequest) and reply.call_id == call_id:
            # A duplicate request gets the same grant and is counted once.
            if reply.ask_id != grant.ask_id:
                grant = models.RetryGrant(
                    call_id=call_id,
                    ask_id=reply.ask_id,
                    granted=await call.authority.request_retry(),
                )
            await link.send(grant)
        elif isinstance(reply, models.AnswerMessage) and (
            reply.call_id <= call_id
        ):
            # A lower id belongs to an earlier call on this link.
            if reply.call_id == call_id:
                return reply
        else:
            raise errors.ProtocolError(
                "peer.call", link.address, f"unexpected {reply.type!r}"
            )
