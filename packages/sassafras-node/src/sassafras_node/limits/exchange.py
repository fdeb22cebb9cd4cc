"""The exchange of tokens with one holder."""

from typing import Protocol

import trio

from sassafras_base import clock as clocks
from sassafras_node.limits import gate as gates
from sassafras_policy.limits import exchanges
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# An ask that waited longer than a request waits for tokens is pointless.
_STALE_AFTER_S = 0.05
_ANSWER_TIMEOUT_S = 1.0
# Nodes that ask seldom keep no links open to the holders.
_IDLE_TIMEOUT_S = 30.0


class Host(Protocol):
    """What the exchange needs of the node that it runs in."""

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


async def run(runtime: Host, holder: str) -> None:
    """Sends this node's asks to a holder, one after another."""
    mailbox = runtime.limit_gate.open_mailbox(holder)
    try:
        while True:
            ask = await mailbox.receive()
            async with trio.open_nursery() as nursery:
                link = await _connect(runtime, nursery, ask)
                try:
                    await _exchange_until_idle(runtime, link, mailbox, ask)
                finally:
                    with trio.CancelScope(shield=True):
                        await link.abort()
                    nursery.cancel_scope.cancel()
    finally:
        runtime.limit_gate.close_mailbox(holder)


async def _connect(
    runtime: Host, nursery: trio.Nursery, ask: exchanges.Ask
) -> links.Link:
    try:
        return await runtime.open_limit_link(nursery, ask.holder)
    except BaseException:
        runtime.limit_gate.failed(ask)
        raise


async def _exchange_until_idle(
    runtime: Host,
    link: links.Link,
    mailbox: trio.MemoryReceiveChannel[exchanges.Ask],
    ask: exchanges.Ask | None,
) -> None:
    while ask is not None:
        await _exchange(runtime, link, ask)
        ask = None
        with trio.move_on_after(_IDLE_TIMEOUT_S):
            ask = await mailbox.receive()


async def _exchange(
    runtime: Host, link: links.Link, ask: exchanges.Ask
) -> None:
    # The lifetime of the tokens counts from here: the holder counts it from
    # its grant, which is later, so it waits for longer than this node.
    sent_at = runtime.clock.now_with_suspend()
    if sent_at - ask.planned_at > _STALE_AFTER_S:
        runtime.limit_gate.failed(ask)
        return
    try:
        with trio.fail_after(_ANSWER_TIMEOUT_S):
            await link.send(converters.ask_to_message(ask))
            reply = await link.expect(models.TokenGrant)
    except BaseException:
        runtime.limit_gate.failed(ask)
        raise
    if reply.number == ask.number:
        runtime.limit_gate.receive(
            ask, converters.message_to_grant(reply), sent_at
        )
