"""A bounded pool of client connections to one server."""

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import client


class ConnectionPool:
    """Keeps idle connections to one server and limits how many are open."""

    def __init__(
        self,
        address: str,
        step: str,
        *,
        size: int,
        body_limit: int,
        connect_timeout_s: float,
    ) -> None:
        self._address = address
        self._step = step
        self._body_limit = body_limit
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[client.ClientConnection] = []
        self._permits = trio.CapacityLimiter(size)

    async def exchange(
        self,
        request: messages.Request,
        progress: progresses.Progress | None = None,
        belongs: client.ResponseCheck | None = None,
    ) -> client.Response:
        """Sends a request on a pooled connection.

        A kept-alive connection that the server closed before anything was
        sent on it is replaced; that is no second attempt.

        Args:
          request: The request.
          progress: Is told when the first byte has been handed over.
          belongs: Tells whether a response answers the request.

        Raises:
          UnreachableError: No connection could be opened; nothing was sent.
          ConnectionLostError: The connection ended after sending began.
          ProtocolError: The server broke HTTP/1.1.
        """
        async with self._permits:
            while True:
                connection = await self._take_idle()
                is_new = connection is None
                if connection is None:
                    connection = await self._connect()
                try:
                    response = await connection.exchange(
                        request, progress, belongs
                    )
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
                return response

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _take_idle(self) -> client.ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return None

    async def _connect(self) -> client.ClientConnection:
        return await client.ClientConnection.connect(
            self._address,
            self._step,
            self._body_limit,
            self._connect_timeout_s,
        )
