"""Exchanges whose messages are not plain, as h11 encodes and decodes them."""

import h11

from sassafras_policy.calls import messages

# Maximum size of a head that arrives in parts.
_HEADER_BYTES = 64 * 1024

# A server in trouble may send bytes without end that never become a body of
# more than the limit: chunk extensions, tiny chunks.
_MAX_FRAMING_BYTES = 2 * _HEADER_BYTES
_MAX_FRAMING_RATIO = 8
_MAX_SMALL_CHUNKS = 1024
_SMALL_CHUNK_BYTES = 64


class ParsedExchange:
    """A request and the parser of its response.

    Attributes:
      request: The encoded request.
    """

    def __init__(self, request: messages.Request, peer: str) -> None:
        """Encodes a request.

        Args:
          request: The request.
          peer: Value of the `Host` field, if the request has none.

        Raises:
          h11.LocalProtocolError: The request is not valid.
        """
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEADER_BYTES
        )
        self._received_bytes = 0
        self._body_bytes = 0
        self._chunks = 0
        self.request = _encode(self._connection, request, peer)

    @property
    def has_ended(self) -> bool:
        """Whether the response has ended and the connection stays open."""
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
        )

    @property
    def rest(self) -> bytes:
        """What has been received after the response."""
        return self._connection.trailing_data[0]

    def receive(self, data: bytes) -> None:
        """Takes received bytes; none at the end of the connection."""
        self._received_bytes += len(data)
        self._connection.receive_data(data)

    def next_event(self) -> object:
        """Returns the next event of the response; see h11.

        Raises:
          h11.RemoteProtocolError: The response is not valid.
        """
        event = self._connection.next_event()
        if type(event) is h11.Data:
            self._body_bytes += len(event.data)
            self._chunks += event.chunk_start
        return event

    def framing_fault(self) -> str:
        """Returns why the body is lost in the bytes that frame it, if it is."""
        allowed_bytes = (
            _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * self._body_bytes
        )
        if self._received_bytes > allowed_bytes:
            return "has more framing than body"
        allowed_chunks = (
            _MAX_SMALL_CHUNKS + self._body_bytes // _SMALL_CHUNK_BYTES
        )
        if self._chunks > allowed_chunks:
            return "has too many small chunks"
        return ""


def decode_head(head: h11.Response) -> tuple[int, messages.Headers]:
    """Returns the status and the fields of a response."""
    headers = [
        (name.decode("ascii").lower(), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    ]
    return head.status_code, tuple(headers)


def _encode(
    connection: h11.Connection, request: messages.Request, peer: str
) -> bytes:
    headers = [*request.headers, ("content-length", str(len(request.body)))]
    if request.header("host") is None:
        headers.insert(0, ("host", peer))
    head = h11.Request(
        method=request.method.encode(),
        target=request.path.encode("latin-1"),
        headers=[(n.encode(), v.encode("latin-1")) for n, v in headers],
    )
    data = connection.send(head) or b""
    if request.body:
        data += connection.send(h11.Data(data=request.body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    return data
