"""The server side of one HTTP/1.1 connection."""

from collections.abc import Callable
import dataclasses
import math

import h11
import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import fields

_READ_BYTES = 64 * 1024
_STEP = "http.receive"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the requests that a client may send."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class RequestRefusedError(errors.ProtocolError):
    """A request that is rejected before any routing.

    Attributes:
      status: HTTP status code of the response.
    """

    def __init__(self, peer: str, status: int, problem: str) -> None:
        self.status = status
        super().__init__(_STEP, peer, problem, "correct the request")


HeaderFormatter = Callable[[messages.CallResponse], list[tuple[str, str]]]


def standard_headers(response: messages.CallResponse) -> list[tuple[str, str]]:
    """Returns the header fields of a response in the product's own format."""
    headers = [
        (name, value)
        for name, value in response.headers
        if name != fields.RETRY_AFTER or not response.retry_after_ms
    ]
    headers.append((fields.OUTCOME, fields.outcome_value(response)))
    if response.retry_after_ms:
        seconds = max(1, math.ceil(response.retry_after_ms / 1000))
        headers.append((fields.RETRY_AFTER, str(seconds)))
    return headers


class BodyBudget:
    """Limits the bytes of request bodies that all connections hold together."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0

    @property
    def reserved_bytes(self) -> int:
        """Number of bytes that are reserved."""
        return self._held

    def reserve(self, size: int) -> bool:
        """Reserves bytes; returns False when the limit does not allow it."""
        if self._held + size > self._limit:
            return False
        self._held += size
        return True

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self._held -= size


class ServerConnection:
    """Reads requests from a stream and writes their responses, in order.

    All methods are called by the connection's one task.

    Attributes:
      peer: Address of the client, for errors and logs.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        peer: str,
        limits: ServerLimits,
        budget: BodyBudget | None = None,
        format_headers: HeaderFormatter = standard_headers,
    ) -> None:
        self.peer = peer
        self._format_headers = format_headers
        self._stream = stream
        self._limits = limits
        self._budget = budget
        self._held = 0
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        # A response to HEAD has the length of a body but no body.
        self._head_only = False
        self._head: h11.Request | None = None
        self._body = bytearray()

    async def await_request(self) -> bool:
        """Waits for the first byte of the next request.

        Returns:
          Whether there is one; False when the client has closed the connection
          or was idle for too long.
        """
        if self._connection.states[h11.SERVER] is h11.DONE:
            if self._connection.states[h11.CLIENT] is not h11.DONE:
                return False
            self._connection.start_next_cycle()
        elif self._connection.states[h11.SERVER] is not h11.IDLE:
            return False
        if self._connection.trailing_data[0]:
            return True
        with trio.move_on_after(self._limits.idle_timeout_s):
            return await self._read()
        return False

    async def receive(self) -> messages.Request | None:
        """Returns the next request, or None when the client has closed.

        Raises:
          RequestRefusedError: The request breaks HTTP/1.1 or a limit.
        """
        self._head = None
        self._body = bytearray()
        # Most requests have arrived whole, and need no timeout.
        if self._parse():
            return self._to_request()
        with trio.move_on_after(self._limits.request_timeout_s):
            while not self._parse():
                if self._connection.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._read()
            return self._to_request()
        raise RequestRefusedError(
            self.peer,
            408,
            "the request was not complete within"
            f" {self._limits.request_timeout_s:.0f} s",
        )

    async def send(
        self, response: messages.CallResponse, *, close: bool = False
    ) -> None:
        """Sends a complete response in one write.

        Args:
          response: The response.
          close: Whether to announce that the connection closes after it.
        """
        headers = self._format_headers(response)
        headers.append(("content-length", str(len(response.body))))
        if close or self._connection.their_state is not h11.DONE:
            headers.append(("connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=[(n.encode(), v.encode("latin-1")) for n, v in headers],
        )
        data = self._connection.send(head) or b""
        if response.body and not self._head_only:
            data += self._connection.send(h11.Data(data=response.body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)

    def release_body(self) -> None:
        """Releases the bytes reserved for the body of the last request."""
        if self._budget is not None:
            self._budget.release(self._held)
        self._held = 0

    async def close(self) -> None:
        """Closes the stream at once."""
        await trio.aclose_forcefully(self._stream)

    async def _read(self) -> bool:
        """Feeds received bytes to the parser; returns False at the end."""
        try:
            data = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        self._connection.receive_data(bytes(data))
        return bool(data)

    def _parse(self) -> bool:
        """Parses what has arrived; returns whether that ends the request."""
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                # After the colon, the parser quotes its input, which may hold
                # a key.
                problem = str(error).split(":", 1)[0]
                raise RequestRefusedError(
                    self.peer, error.error_status_hint, problem
                ) from None
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Request):
                self._head = event
                self._head_only = event.method == b"HEAD"
                self._check_header_size(event)
                self._check_unambiguous(event)
            elif isinstance(event, h11.Data):
                self._reserve(len(event.data))
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    raise self._body_too_large()
            else:
                return True

    def _body_too_large(self) -> RequestRefusedError:
        return RequestRefusedError(
            self.peer, 413, f"the body is over {self._limits.body_bytes} bytes"
        )

    def _reserve(self, size: int) -> None:
        if self._budget is None:
            return
        if not self._budget.reserve(size):
            raise RequestRefusedError(
                self.peer,
                503,
                "this node holds as many bytes of bodies as it may; come back",
            )
        self._held += size

    def _check_header_size(self, head: h11.Request) -> None:
        """Rejects a header block over the limit that arrived in one piece.

        The parser checks its own limit only while a block is incomplete.
        """
        size = len(head.target) + sum(
            len(name) + len(value) + len(": \r\n")
            for name, value in head.headers
        )
        if size > self._limits.header_bytes:
            raise RequestRefusedError(
                self.peer,
                431,
                f"the header block is over {self._limits.header_bytes} bytes",
            )

    def _check_unambiguous(self, head: h11.Request) -> None:
        """Rejects a request that another HTTP parser may read differently.

        With two body lengths, what one parser takes for the body is a further
        request to the other. With two keys, the parsers may attribute the
        request to different callers.
        """
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise RequestRefusedError(
                self.peer, 400, "a body has a length or is chunked, not both"
            )
        if names.count(fields.AUTHORIZATION.encode()) > 1:
            raise RequestRefusedError(
                self.peer, 400, "a request has one Authorization field"
            )

    async def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._connection.send(interim) or b"")

    def _to_request(self) -> messages.Request | None:
        """Returns the parsed request, or None if the client has closed."""
        head = self._head
        if head is None or self._connection.their_state is not h11.DONE:
            return None
        path = head.target.decode("latin-1")
        if not path.startswith("/"):
            raise RequestRefusedError(
                self.peer, 400, "the request target must begin with '/'"
            )
        return messages.Request(
            method=head.method.decode("ascii"),
            path=path,
            headers=tuple(
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in head.headers
            ),
            body=bytes(self._body),
        )
