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
# A copy of a longer body takes more memory than one system call is worth.
_MAX_COPIED_BYTES = 64 * 1024
_STEP = "http.receive"
_HEADER_FRAMING_BYTES = len(": \r\n")


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
        self._headers: messages.Headers = ()
        self._body = bytearray()
        self._is_complete = False

    async def await_request(self) -> bool:
        """Waits for the first byte of the next request.

        The caller bounds the wait by `idle_timeout_s`.

        Returns:
          Whether there is one; False when the client has closed the connection.
        """
        if self._connection.states[h11.SERVER] is h11.DONE:
            if self._connection.states[h11.CLIENT] is not h11.DONE:
                return False
            self._connection.start_next_cycle()
        elif self._connection.states[h11.SERVER] is not h11.IDLE:
            return False
        if self._connection.trailing_data[0]:
            return True
        return await self._read()

    async def receive(self) -> messages.Request | None:
        """Returns the next request, or None when the client has closed.

        Raises:
          RequestRefusedError: The request breaks HTTP/1.1 or a limit.
        """
        self._head = None
        self._body = bytearray()
        self._is_complete = False
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
        """Sends a complete response, a short one in one write.

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
            body = self._connection.send(h11.Data(data=response.body)) or b""
            if len(body) <= _MAX_COPIED_BYTES:
                data += body
            else:
                await self._stream.send_all(data)
                data = body
        end = self._connection.send(h11.EndOfMessage())
        await self._stream.send_all(data + end if end else data)

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
            # The events are abstract base classes, for which a comparison of
            # types takes a tenth of the time of `isinstance`.
            if type(event) is h11.Request:
                self._head = event
                self._head_only = event.method == b"HEAD"
                self._headers = self._read_headers(event)
            elif type(event) is h11.Data:
                self._reserve(len(event.data))
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    raise self._body_too_large()
            else:
                self._is_complete = type(event) is h11.EndOfMessage
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

    def _read_headers(self, head: h11.Request) -> messages.Headers:
        """Returns the header fields of a request that is acceptable.

        The parser checks its limit on the size only while a block is
        incomplete, so one that arrived in one piece is checked here.

        Two parsers may read a request with two body lengths differently: what
        one takes for the body is a further request to the other. With two
        keys, they may attribute the request to different callers.
        """
        size = len(head.target)
        headers: list[tuple[str, str]] = []
        for raw_name, raw_value in head.headers.raw_items():
            size += len(raw_name) + len(raw_value) + _HEADER_FRAMING_BYTES
            headers.append(
                (raw_name.decode("ascii").lower(), raw_value.decode("latin-1"))
            )
        if size > self._limits.header_bytes:
            raise RequestRefusedError(
                self.peer,
                431,
                f"the header block is over {self._limits.header_bytes} bytes",
            )
        names = [name for name, _ in headers]
        lengths = [value for name, value in headers if name == "content-length"]
        # The parser accepts only digits as a length.
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            raise self._body_too_large()
        if "content-length" in names and "transfer-encoding" in names:
            raise RequestRefusedError(
                self.peer, 400, "a body has a length or is chunked, not both"
            )
        if names.count(fields.AUTHORIZATION) > 1:
            raise RequestRefusedError(
                self.peer, 400, "a request has one Authorization field"
            )
        return tuple(headers)

    async def _send_continue(self) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._connection.send(interim) or b"")

    def _to_request(self) -> messages.Request | None:
        """Returns the parsed request, or None if the client has closed."""
        head = self._head
        if head is None or not self._is_complete:
            return None
        path = head.target.decode("latin-1")
        if not path.startswith("/"):
            raise RequestRefusedError(
                self.peer, 400, "the request target must begin with '/'"
            )
        body, self._body = bytes(self._body), bytearray()
        return messages.Request(
            method=head.method.decode("ascii"),
            path=path,
            headers=self._headers,
            body=body,
        )
