"""Bounded pools of client connections to one server."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import math
import operator
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from sassafras_base import errors
from sassafras_policy.admission import connections
from sassafras_policy.calls import messages
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import client
from sassafras_wire.http import deadlines
from sassafras_wire.http import sockets


class Connection(Protocol):
    """A connection that carries one exchange at a time."""

    @property
    def transport(self) -> trio.abc.AsyncResource:
        """The connection's socket."""
        ...

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may follow."""
        ...

    def is_stale(self) -> bool:
        """Returns whether an idle connection must not be reused."""
        ...

    async def close(self) -> None:
        """Closes the connection at once."""
        ...


C = TypeVar("C", bound=Connection)
R = TypeVar("R")


class Pool(Generic[C]):
    """Keeps idle connections to one server and limits those in use."""

    def __init__(
        self,
        connect: Callable[[], Awaitable[C]],
        size: int,
        monitor: deadlines.DeadlineMonitor | None = None,
        budget: connections.SocketBudget | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
          connect: Opens a connection; raises UnreachableError.
          size: Maximum number in use; further exchanges wait.
          monitor: Ends exchanges at their deadlines; None where none has one.
          budget: Counts the sockets of the process; None for no limit.
        """
        self._connect = connect
        self._monitor = monitor
        self._budget = budget
        self._idle: list[C] = []
        self._permits = trio.Semaphore(size, max_value=size)

    async def use(
        self,
        exchange: Callable[[C], Awaitable[R]],
        deadline: float = math.inf,
    ) -> R:
        """Runs an exchange on an idle or a new connection.

        A kept-alive connection that the server closed before anything was
        sent on it is replaced; that does not count as a second attempt.

        Args:
          exchange: Sends a request on the connection and returns its response.
          deadline: When the exchange ends at the latest, on trio's clock.

        Raises:
          UnreachableError: No connection could be opened; nothing was sent.
          ConnectionLostError: The connection ended after sending began, or the
            deadline passed.
          ProtocolError: The server broke the protocol.
        """
        monitor = self._monitor
        try:
            # Avoids the checkpoint of the awaited call, as a permit is nearly
            # always free.
            self._permits.acquire_nowait()
        except trio.WouldBlock:
            await _before(deadline, self._permits.acquire)
        try:
            while True:
                is_new = not self._idle
                if is_new:
                    connection = await self._open(deadline)
                else:
                    connection = self._idle.pop()
                    if connection.is_stale():
                        await self._close(connection)
                        continue
                stream = connection.transport
                if monitor and isinstance(stream, sockets.SocketStream):
                    monitor.set(stream, deadline)
                try:
                    result = await exchange(connection)
                except errors.UnreachableError:
                    await self._close(connection)
                    if is_new:
                        raise
                    continue
                except BaseException:
                    await self._close(connection)
                    raise
                finally:
                    if monitor and isinstance(stream, sockets.SocketStream):
                        monitor.clear(stream)
                if connection.is_reusable:
                    self._idle.append(connection)
                else:
                    await self._close(connection)
                return result
        finally:
            self._permits.release()

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._close(self._idle.pop())

    def close_longest_idle(self) -> bool:
        """Closes the connection that is idle for the longest, if any is."""
        for connection in self._idle:
            stream = connection.transport
            if not isinstance(stream, sockets.SocketStream):
                return False
            self._idle.remove(connection)
            stream.close()
            self._count_closed()
            return True
        return False

    async def _open(self, deadline: float) -> C:
        if self._budget is not None and not self._budget.take():
            raise errors.UnreachableError(
                "pool.connect", "", "no descriptor is free"
            )
        try:
            return await _before(deadline, self._connect)
        except BaseException:
            self._count_closed()
            raise

    async def _close(self, connection: C) -> None:
        self._count_closed()
        await connection.close()

    def _count_closed(self) -> None:
        if self._budget is not None:
            self._budget.give_back()


async def _before(deadline: float, wait: Callable[[], Awaitable[R]]) -> R:
    """Waits until a deadline; raises UnreachableError when it passes."""
    with trio.CancelScope(deadline=deadline):
        return await wait()
    raise errors.UnreachableError(
        "pool.connect", "", "the deadline passed before a connection was free"
    )


class ConnectionPool:
    """HTTP/1.1 connections to one server."""

    def __init__(
        self,
        address: str,
        step: str,
        *,
        size: int,
        body_limit: int,
        connect_timeout_s: float,
        monitor: deadlines.DeadlineMonitor | None = None,
        budget: connections.SocketBudget | None = None,
    ) -> None:
        self._pool = Pool(
            functools.partial(
                client.ClientConnection.connect,
                address,
                step,
                body_limit,
                connect_timeout_s,
            ),
            size,
            monitor,
            budget,
        )

    def exchange(
        self,
        request: messages.Request,
        progress: progresses.Progress | None = None,
        match: client.ResponseMatcher | None = None,
        deadline: float = math.inf,
    ) -> Awaitable[client.Response]:
        """Sends a request on a pooled connection; raises as `Pool.use`.

        Args:
          request: The request.
          progress: Marked when the socket has accepted the first byte.
          match: Returns whether a response is for the request.
          deadline: When the exchange ends at the latest, on trio's clock.
        """
        return self._pool.use(
            operator.methodcaller("exchange", request, progress, match),
            deadline,
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.close()
