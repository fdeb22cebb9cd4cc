"""Connections for calls to other nodes, one call at a time on each."""

from sassafras_policy.calls import messages
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import client
from sassafras_wire.http import pool

# Two hops between zones and a busy node; longer waits are better spent at
# another node.
_CONNECT_TIMEOUT_S = 0.4
# More calls than this to one node wait for a connection; a target has fewer
# places.
_CONNECTIONS = 512
_BODY_LIMIT = 64 * 1024 * 1024


class CallPools:
    """One pool for each address of a node."""

    def __init__(self) -> None:
        self._pools: dict[str, pool.ConnectionPool] = {}

    async def exchange(
        self,
        address: str,
        request: messages.Request,
        progress: progresses.Progress,
    ) -> client.Response:
        """Sends a call; raises as `ConnectionPool.exchange` does."""
        connections = self._pools.get(address)
        if connections is None:
            connections = pool.ConnectionPool(
                address,
                "peer.call",
                size=_CONNECTIONS,
                body_limit=_BODY_LIMIT,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
            )
            self._pools[address] = connections
        return await connections.exchange(request, progress)

    async def drop(self, address: str) -> None:
        """Closes the idle connections to a node that is gone."""
        connections = self._pools.pop(address, None)
        if connections is not None:
            await connections.close()
