"""The server side of one HTTP/1.1 connection."""

from collections.abc import Callable
import dataclasses
import math

import h11
import trio

from sassafras_base import errors
from sassafras_policy.admission import connections
from sassafras_policy.calls import messages
from sassafras_wire.http import fields
from sassafras_wire.http import plain
from sassafras_wire.http import sockets

_READ_BYTES = 64 * 1024
# A copy of a longer body takes more memory than one system call is worth.
_MAX_COPIED_BYTES = 64 * 1024
_STEP = "http.receive"
_HEADER_FRAMING_BYTES = len(": \r\n")
# A parsed field takes about 480 bytes beside its text, a third of them for each
# of the copies that the limit on bodies allows for.
_FIELD_COST_BYTES = 160
_HEAD_COPIES = 2
# Ordinary heads cost less, and are part of the memory of the process itself.
_UNCHARGED_HEAD_BYTES = 4096
# A client that sends less than this makes no progress.
_PROGRESS_BYTES = 4096


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
    """Limits the bytes of requests that all connections hold together.

    These are bodies, heads that are larger than usual, and bytes that have
    arrived and cannot be parsed yet.

    Attributes:
      stalled: Connections whose requests have not arrived completely.
    """

    def __init__(
        self,
        limit: int,
        stalled: connections.StalledConnections | None = None,
    ) -> None:
        self.stalled = stalled or connections.StalledConnections()
        self._limit = limit
        self._held = 0

    @property
    def reserved_bytes(self) -> int:
        """Number of bytes that are reserved."""
        return self._held

    def reserve(self, size: int, holder: object = None) -> bool:
        """Reserves bytes; returns False when the limit does not allow it.

        Args:
          size: The bytes.
          holder: The key of the connection among those that are stalled.
        """
        if size > self._limit:
            return False
        while self._held + size > self._limit:
            if not self.stalled.close_longest_wait(holder):
                return False
        self._held += size
        return True

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self._held -= size


class ServerConnection:
    """Reads requests from a stream and writes their responses, in order.

    A plain request that has arrived whole is decoded at once; any other is
    left to a parser, which then also encodes the response to it.

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
        # Those of them that have arrived and are not parsed.
        self._unparsed = 0
        self._received = b""
        # Of the current request; None while it is a plain one.
        self._parser: h11.Connection | None = None
        # Whether the client has asked to close the connection.
        self._is_last = False
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
        if self._parser is not None:
            if (
                self._parser.our_state is not h11.DONE
                or self._parser.their_state is not h11.DONE
            ):
                return False
            self._received = self._parser.trailing_data[0]
            self._parser = None
        if self._is_last:
            return False
        if not self._received:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            self._received = bytes(data)
        return bool(self._received)

    async def receive(self) -> messages.Request | None:
        """Returns the next request, or None when the client has closed.

        Raises:
          RequestRefusedError: The request breaks HTTP/1.1 or a limit.
        """
        self._head = None
        self._body = bytearray()
        self._is_complete = False
        self._head_only = False
        request = self._decode_plain()
        if request is not None:
            if self._received:
                self._charge_unparsed(len(self._received))
            return request
        parser = self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        if self._received:
            parser.receive_data(self._received)
            self._received = b""
        # Most requests have arrived whole, and need no timeout.
        if self._parse(parser):
            self._charge_unparsed(len(parser.trailing_data[0]))
            return self._to_request()
        with trio.move_on_after(self._limits.request_timeout_s):
            await self._receive_rest(parser)
            return self._to_request()
        raise RequestRefusedError(
            self.peer,
            408,
            "the request was not complete within"
            f" {self._limits.request_timeout_s:.0f} s",
        )

    async def _receive_rest(self, parser: h11.Connection) -> None:
        """Receives what is missing of a request that did not arrive whole.

        Its connection gives way where others need the memory.
        """
        progress_bytes = 0
        self._charge_unparsed(len(parser.trailing_data[0]))
        self._mark_stalled()
        try:
            while True:
                if parser.they_are_waiting_for_100_continue:
                    await self._send_continue(parser)
                data = await self._read()
                parser.receive_data(data)
                progress_bytes += len(data)
                if progress_bytes >= _PROGRESS_BYTES:
                    progress_bytes = 0
                    self._mark_stalled()
                is_complete = self._parse(parser)
                self._charge_unparsed(len(parser.trailing_data[0]))
                if is_complete:
                    return
        finally:
            if self._budget is not None:
                self._budget.stalled.remove(self)

    def _mark_stalled(self) -> None:
        if self._budget is not None:
            self._budget.stalled.add(self, self._abandon)

    def _abandon(self) -> None:
        """Closes the connection and releases what its request holds."""
        self.release_body()
        if isinstance(self._stream, sockets.SocketStream):
            self._stream.close()

    def _charge_unparsed(self, size: int) -> None:
        """Reserves the bytes that wait to be parsed, and only those."""
        if size > self._unparsed:
            self._reserve(size - self._unparsed)
        elif size < self._unparsed and self._budget is not None:
            self._budget.release(self._unparsed - size)
            self._held -= self._unparsed - size
        self._unparsed = size

    async def send(
        self, response: messages.CallResponse, *, close: bool = False
    ) -> None:
        """Sends a complete response, a short one in one write.

        Args:
          response: The response.
          close: Whether to announce that the connection closes after it.
        """
        headers = self._format_headers(response)
        if self._parser is None:
            data = self._encode_plain(response, headers, close)
        else:
            is_open = self._parser.their_state is h11.DONE
            data = self._encode(
                self._parser, response, headers, close or not is_open
            )
        body = b"" if self._head_only else response.body
        if len(body) > _MAX_COPIED_BYTES:
            await self._stream.send_all(data)
            await self._stream.send_all(body)
        else:
            await self._stream.send_all(data + body if body else data)

    def _decode_plain(self) -> messages.Request | None:
        """Returns the request if it is plain, whole and within all limits."""
        head = plain.decode_request(self._received)
        if head is None:
            return None
        body_bytes = head.body_end - head.body_start
        if (
            head.body_end > len(self._received)
            or head.body_start > self._limits.header_bytes
            or body_bytes > self._limits.body_bytes
        ):
            return None
        # The test of `_charge_head`, without a function call for most heads.
        if (
            _HEAD_COPIES * head.body_start
            + _FIELD_COST_BYTES * len(head.headers)
            > _UNCHARGED_HEAD_BYTES
        ):
            self._charge_head(head.body_start, len(head.headers))
        body = b""
        if body_bytes:
            self._reserve(body_bytes)
            body = self._received[head.body_start : head.body_end]
        self._received = self._received[head.body_end :]
        self._is_last = head.is_last
        self._is_complete = True
        return messages.Request(head.method, head.target, head.headers, body)

    def _encode_plain(
        self,
        response: messages.CallResponse,
        headers: list[tuple[str, str]],
        close: bool,
    ) -> bytes:
        """Returns the head of the response to a plain request."""
        is_last = close or self._is_last or not self._is_complete
        data = plain.encode_response(
            response.status, headers, len(response.body), is_last
        )
        if data is None:
            encoder = h11.Connection(h11.SERVER)
            data = self._encode(encoder, response, headers, is_last)
            is_last = encoder.our_state is not h11.DONE
        self._is_last = is_last
        return data

    def _encode(
        self,
        connection: h11.Connection,
        response: messages.CallResponse,
        headers: list[tuple[str, str]],
        close: bool,
    ) -> bytes:
        """Returns the head of a response, as h11 encodes it."""
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=[(n.encode(), v.encode("latin-1")) for n, v in headers],
        )
        data = connection.send(head) or b""
        if response.body and not self._head_only:
            connection.send(h11.Data(data=response.body))
        connection.send(h11.EndOfMessage())
        return data

    def release_body(self) -> None:
        """Releases the last request and the bytes reserved for it."""
        if self._budget is not None and self._held:
            self._budget.release(self._held)
            self._held = 0
        self._unparsed = 0
        if self._head is not None:
            self._head = None
            self._headers = ()
            self._body = bytearray()

    async def close(self) -> None:
        """Closes the stream at once."""
        await trio.aclose_forcefully(self._stream)

    async def _read(self) -> bytes:
        """Returns received bytes; none at the end."""
        try:
            return bytes(await self._stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    def _parse(self, parser: h11.Connection) -> bool:
        """Parses what has arrived; returns whether that ends the request."""
        while True:
            try:
                event = parser.next_event()
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
        if not self._budget.reserve(size, self):
            raise RequestRefusedError(
                self.peer,
                503,
                "this node holds as many bytes of bodies as it may; come back",
            )
        self._held += size

    def _charge_head(self, size: int, field_count: int) -> None:
        """Reserves the memory of a head that is larger than usual."""
        cost = _HEAD_COPIES * size + _FIELD_COST_BYTES * field_count
        if cost > _UNCHARGED_HEAD_BYTES:
            self._reserve(cost)

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
        self._charge_head(size, len(headers))
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

    async def _send_continue(self, parser: h11.Connection) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(parser.send(interim) or b"")

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
