"""Renews the lease of this node's entry through another node.

The store may reject this node, or be cut off from it, while it serves others.
They would take this node's part of the rates over when its lease has ended,
although all of them reach it.
"""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_base import hashing
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_wire.mesh import link_messages
from sassafras_wire.store import client as store_client

# Links to this many nodes that reach the store are usual, and a node may have
# lost it since it was last heard of.
_MAX_ATTEMPTS = 3
# The other node waits for the store for up to a second.
_ANSWER_TIMEOUT_S = 1.5
_STEP = "lease.renew"


@events.declare(853, "INFO")
def lease_renewed_by_peer(node_id: str) -> str:
    """Another node renews the lease of this node's entry.

    The store does not answer this node. Logged once until it does again.
    """
    return f"{node_id} renews the lease, as the store does not answer"


@events.declare(854, "WARNING")
def lease_not_renewed(asked: str, error: str) -> str:
    """Neither the store nor another node renews the lease of the entry.

    `asked` are the nodes that were asked, and `error` is the answer of the
    last. Once the lease has ended, this node uses no part of the rates until it
    has a new one. Logged once until the lease is renewed.
    """
    return f"the lease is not renewed; asked {asked or 'nobody'}: {error}"


class PeerRenewals:
    """Renewals of the lease of this node's entry by other nodes."""

    def __init__(self, runtime: runtimes.Runtime) -> None:
        self._runtime = runtime
        self._is_renewed = False
        self._is_failing = False

    def end(self) -> None:
        """Records that the store answers this node."""
        self._is_renewed = self._is_failing = False

    async def renew(self) -> interfaces.Lease | None:
        """Asks nodes that reach the store, one after the other.

        Returns:
          The first answer that one of them got; None without one.
        """
        asked: list[str] = []
        error = "no linked node reaches the store"
        for node_id in _candidates(self._runtime):
            asked.append(node_id)
            try:
                with trio.fail_after(_ANSWER_TIMEOUT_S):
                    lease = await _ask(self._runtime, node_id)
            except* (errors.SassafrasError, trio.TooSlowError) as group:
                lease = None
                error = str(group.exceptions[0]) or "silent"
            if lease is not None:
                if not self._is_renewed:
                    lease_renewed_by_peer(node_id)
                self._is_renewed, self._is_failing = True, False
                return lease
        if not self._is_failing:
            lease_not_renewed(",".join(asked), error)
        self._is_renewed, self._is_failing = False, True
        return None


def _candidates(runtime: runtimes.Runtime) -> list[str]:
    """Returns linked nodes that reach the store."""
    return hashing.rendezvous(
        runtime.settings.host.node_id,
        runtime.linked - runtime.unusable_readers,
        _MAX_ATTEMPTS,
    )


async def _ask(runtime: runtimes.Runtime, node_id: str) -> interfaces.Lease:
    """Returns the answer of the store to another node.

    Raises:
      StoreUnavailableError: It got none.
    """
    async with trio.open_nursery() as nursery:
        link = await runtime.open_link(nursery, node_id, _STEP)
        try:
            await link.send(
                link_messages.RenewLease(
                    number=link.next_call_id(),
                    lease=runtime.lease,
                    era=runtime.lease_era,
                )
            )
            answer = await link.expect(link_messages.LeaseRenewal)
        finally:
            with trio.CancelScope(shield=True):
                await link.abort()
            nursery.cancel_scope.cancel()
    if not answer.is_answered:
        raise store_client.StoreUnavailableError(
            _STEP, node_id, "the store does not answer it"
        )
    return interfaces.Lease(answer.lease, answer.era)
