"""The server side of one HTTP/1.1 connection."""

import dataclasses
import math

import h11
from sassafras_base import errors
from sassafras_policy.calls import messages
import trio

from sassafras_wire.http import fields

_READ_BYTES = 64 * 1024
_STEP = "http.receive"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what the other side of a connection may ask for."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class RequestRefusedError(errors.ProtocolError):
    """A request that is answered with an error before any routing.

    Attributes:
      status: HTTP status code of the answer.
    """

    def __init__(self, peer: str, status: int, problem: str) -> None:
        self.status = status
        super().__init__(_STEP, peer, problem, "correct the request")


class ServerConnection:
    """Reads requests from a stream and writes their answers, in order.

    Attributes:
      peer: Address of the other side, for errors and logs.
    """

    def __init__(
        self, stream: trio.abc.Stream, peer: str, limits: ServerLimits
    ) -> None:
        self.peer = peer
        self._stream = stream
        self._limits = limits
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._read_ahead = bytearray()
        self._at_end = False
        # The answer to HEAD carries the length of a body and not the body.
        self._head_only = False

    async def await_request(self) -> bool:
        """Waits for the first byte of the next request.

        Returns:
          Whether there is one; False when the other side is done or idle for
          too long.
        """
        if self._connection.states[h11.SERVER] is h11.DONE:
            self._connection.start_next_cycle()
        elif self._connection.states[h11.SERVER] is not h11.IDLE:
            return False
        return await self._await_first_byte()

    async def receive(self) -> messages.Request | None:
        """Returns the next request, or None when the other side is done.

        Raises:
          RequestRefusedError: The request breaks HTTP/1.1 or a limit.
        """
        if not await self.await_request():
            return None
        with trio.move_on_after(self._limits.request_timeout_s):
            return await self._receive_whole()
        raise RequestRefusedError(
            self.peer,
            408,
            "the request was not complete within"
            f" {self._limits.request_timeout_s:.0f} s",
        )

    async def send(
        self, answer: messages.Answer, *, close: bool = False
    ) -> None:
        """Writes a whole answer in one write.

        Args:
          answer: The answer.
          close: Tells the other side to send no more on this connection.
        """
        headers = [
            (name, value)
            for name, value in answer.headers
            if name != fields.RETRY_AFTER or not answer.retry_after_ms
        ]
        outcome = str(answer.outcome)
        if answer.reason:
            outcome = f"{outcome}; reason={answer.reason}"
        headers.append((fields.OUTCOME, outcome))
        if answer.retry_after_ms:
            seconds = max(1, math.ceil(answer.retry_after_ms / 1000))
            headers.append((fields.RETRY_AFTER, str(seconds)))
        headers.append(("content-length", str(len(answer.body))))
        if close or self._connection.their_state is not h11.DONE:
            headers.append(("connection", "close"))
        head = h11.Response(
            status_code=answer.status,
            headers=[(n.encode(), v.encode("latin-1")) for n, v in headers],
        )
        data = self._connection.send(head) or b""
        if answer.body and not self._head_only:
            data += self._connection.send(h11.Data(data=answer.body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)

    async def wait_disconnected(self) -> None:
        """Returns when the other side closes; keeps what it sends meanwhile.

        A pipelining caller may send its next request early. At most
        `header_bytes` of it are read ahead; a caller that sends more is
        watched again once its current request is answered.
        """
        while len(self._read_ahead) < self._limits.header_bytes:
            try:
                data = await self._stream.receive_some(
                    self._limits.header_bytes
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._at_end = True
                return
            self._read_ahead += data
        await trio.sleep_forever()

    async def close(self) -> None:
        """Closes the stream at once."""
        await trio.aclose_forcefully(self._stream)

    async def _await_first_byte(self) -> bool:
        if self._connection.trailing_data[0] or self._read_ahead:
            return True
        with trio.move_on_after(self._limits.idle_timeout_s):
            return await self._read()
        return False

    async def _read(self) -> bool:
        """Feeds more bytes to the parser; returns False at the end."""
        if self._read_ahead:
            data = bytes(self._read_ahead)
            self._read_ahead.clear()
        elif self._at_end:
            data = b""
        else:
            try:
                data = bytes(await self._stream.receive_some(_READ_BYTES))
            except trio.BrokenResourceError:
                data = b""
        self._connection.receive_data(data)
        return bool(data)

    async def _receive_whole(self) -> messages.Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                # After the colon the parser quotes what it read, which may
                # hold a key.
                problem = str(error).split(":", 1)[0]
                raise RequestRefusedError(
                    self.peer, error.error_status_hint, problem
                ) from None
            if event is h11.NEED_DATA:
                if self._connection.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._read()
            elif isinstance(event, h11.Request):
                head = event
                self._head_only = event.method == b"HEAD"
                self._check_size(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise RequestRefusedError(
                        self.peer,
                        413,
                        f"the body is over {self._limits.body_bytes} bytes",
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._to_request(head, bytes(body))
            else:
                return None

    def _check_size(self, head: h11.Request) -> None:
        """Refuses a header block over the limit that came in one piece.

        The parser's own limit covers only blocks that are still incomplete.
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

    async def _send_continue(self) -> None:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._connection.send(go_on) or b"")

    def _to_request(self, head: h11.Request, body: bytes) -> messages.Request:
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
            body=body,
        )
