"""Bounded pools of client connections to one server."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import client


class Connection(Protocol):
    """A connection that carries one exchange at a time."""

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

    def __init__(self, connect: Callable[[], Awaitable[C]], size: int) -> None:
        """Creates an empty pool.

        Args:
          connect: Opens a connection; raises UnreachableError.
          size: Maximum number in use; further exchanges wait.
        """
        self._connect = connect
        self._idle: list[C] = []
        self._permits = trio.Semaphore(size, max_value=size)

    async def use(self, exchange: Callable[[C], Awaitable[R]]) -> R:
        """Runs an exchange on an idle or a new connection.

        A kept-alive connection that the server closed before anything was
        sent on it is replaced; that does not count as a second attempt.

        Raises:
          UnreachableError: No connection could be opened; nothing was sent.
          ConnectionLostError: The connection ended after sending began.
          ProtocolError: The server broke the protocol.
        """
        try:
            # Avoids the checkpoint of the awaited call, as a permit is nearly
            # always free.
            self._permits.acquire_nowait()
        except trio.WouldBlock:
            await self._permits.acquire()
        try:
            return await self._use(exchange)
        finally:
            self._permits.release()

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _use(self, exchange: Callable[[C], Awaitable[R]]) -> R:
        while True:
            connection = await self._take_idle()
            is_new = connection is None
            if connection is None:
                connection = await self._connect()
            try:
                result = await exchange(connection)
            except errors.UnreachableError:
                await connection.close()
                if is_new:
                    raise
                continue
            except BaseException:
                await connection.close()
                raise
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                await connection.close()
            return result

    async def _take_idle(self) -> C | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return None


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
        )

    async def exchange(
        self,
        request: messages.Request,
        progress: progresses.Progress | None = None,
        match: client.ResponseMatcher | None = None,
    ) -> client.Response:
        """Sends a request on a pooled connection; raises as `Pool.use`.

        Args:
          request: The request.
          progress: Marked when the socket has accepted the first byte.
          match: Returns whether a response is for the request.
        """
        return await self._pool.use(
            lambda connection: connection.exchange(request, progress, match)
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.close()
