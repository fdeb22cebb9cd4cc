"""Token exchange with one holder."""

from typing import Protocol

import trio

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_node.limits import gate as gates
from sassafras_policy.limits import transfers
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# A root request does not wait longer than this for tokens, so an older token
# request is not sent.
_STALE_AFTER_S = 0.05
_GRANT_TIMEOUT_S = 1.0
# Nodes that rarely request tokens keep no links open to the holders.
_IDLE_TIMEOUT_S = 30.0


class ExchangeRuntime(Protocol):
    """Parts of the node that the token exchange uses."""

    @property
    def limit_gate(self) -> gates.LimitGate:
        """Admission by the limiter."""
        ...

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        ...

    async def open_limit_link(
        self, nursery: trio.Nursery, holder: str
    ) -> links.Link:
        """Opens a link to a holder.

        Raises:
          SassafrasError: The holder cannot be reached.
        """
        ...


async def run(runtime: ExchangeRuntime, holder: str) -> None:
    """Sends this node's token requests to a holder, one at a time.

    An error or a cancellation fails the requests that are left.
    """
    with runtime.limit_gate.open_mailbox(holder) as mailbox:
        while True:
            request = await mailbox.receive()
            async with trio.open_nursery() as nursery:
                link = await runtime.open_limit_link(nursery, holder)
                try:
                    await _exchange_until_idle(runtime, link, mailbox, request)
                finally:
                    with trio.CancelScope(shield=True):
                        await link.abort()
                    nursery.cancel_scope.cancel()


async def _exchange_until_idle(
    runtime: ExchangeRuntime,
    link: links.Link,
    mailbox: gates.Mailbox,
    request: transfers.TokenRequest | None,
) -> None:
    while request is not None:
        await _exchange(runtime, link, request)
        request = None
        with trio.move_on_after(_IDLE_TIMEOUT_S):
            request = await mailbox.receive()


async def _exchange(
    runtime: ExchangeRuntime, link: links.Link, request: transfers.TokenRequest
) -> None:
    # This node counts the lifetime of the tokens from here. The holder counts
    # it from its grant, which is later, so tokens expire here first.
    sent_at = runtime.clock.now_with_suspend()
    if sent_at - request.planned_at > _STALE_AFTER_S:
        runtime.limit_gate.request_failed(request)
        return
    with trio.fail_after(_GRANT_TIMEOUT_S):
        await link.send(converters.token_request_to_message(request))
        reply = await link.expect(models.TokenGrant)
    if reply.number != request.number:
        raise errors.ProtocolError(
            "limits.ask",
            request.holder,
            f"grant {reply.number} for request {request.number}",
        )
    runtime.limit_gate.receive(
        request, converters.message_to_grant(reply), sent_at
    )
