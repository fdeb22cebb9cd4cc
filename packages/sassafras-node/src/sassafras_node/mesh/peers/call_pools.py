"""Connections for calls to other nodes, one call at a time on each."""

from collections.abc import Awaitable
import functools
import operator

from sassafras_policy.admission import connections
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import deadlines
from sassafras_wire.http import pool
from sassafras_wire.mesh import call_connection
from sassafras_wire.mesh import call_messages

# Allows for two hops between zones and a busy node; a longer wait is better
# spent at another node.
_CONNECT_TIMEOUT_S = 0.4
# Further calls to a node wait for a connection; a target has fewer slots.
_MAX_CONNECTIONS = 512


class CallPools:
    """One pool for each address of a node."""

    def __init__(
        self,
        monitor: deadlines.DeadlineMonitor,
        budget: connections.SocketBudget | None = None,
    ) -> None:
        """Creates pools without connections.

        Args:
          monitor: Ends exchanges at their deadlines.
          budget: Counts the sockets of the process; None for no limit.
        """
        self._monitor = monitor
        self._budget = budget
        self._pools: dict[str, pool.Pool[call_connection.CallConnection]] = {}

    def exchange(
        self,
        address: str,
        call: bytes,
        progress: progresses.Progress,
        deadline: float,
    ) -> Awaitable[call_messages.Answer]:
        """Sends an encoded call; raises as `CallConnection.exchange` does."""
        found = self._pools.get(address)
        if found is None:
            found = pool.Pool(
                functools.partial(
                    call_connection.CallConnection.connect,
                    address,
                    _CONNECT_TIMEOUT_S,
                ),
                _MAX_CONNECTIONS,
                self._monitor,
                self._budget,
            )
            self._pools[address] = found
        return found.use(
            operator.methodcaller("exchange", call, progress), deadline
        )

    async def drop(self, address: str) -> None:
        """Closes the idle connections to a node that is gone."""
        found = self._pools.pop(address, None)
        if found is not None:
            await found.close()

    def close_longest_idle(self) -> bool:
        """Closes an idle connection of some pool; False if there is none."""
        return any(found.close_longest_idle() for found in self._pools.values())
