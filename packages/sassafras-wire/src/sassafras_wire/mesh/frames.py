"""Messages on a plain connection between two nodes: a length, then CBOR.

A websocket on trio takes 0.18 ms of processor time for a message and its
answer, both sides together, and HTTP/1.1 0.2 ms; this takes 0.02 ms. Calls are
most of what nodes send to each other. Control links, which are few and idle,
use websockets.
"""

import struct

import trio

from sassafras_base import errors
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import sockets
from sassafras_wire.peer import codec
from sassafras_wire.peer import models

_LENGTH = struct.Struct("!I")
_READ_BYTES = 64 * 1024


class FrameStream:
    """Sends and receives messages, one at a time in each direction.

    Attributes:
      peer: Address of the other side.
    """

    def __init__(
        self, stream: trio.SocketStream, peer: str, largest_bytes: int
    ) -> None:
        """Takes over a connection.

        Args:
          stream: The connection.
          peer: Address of the other side, for errors.
          largest_bytes: Longest message that is accepted.
        """
        self.peer = peer
        self._stream = stream
        self._largest_bytes = largest_bytes
        self._received = bytearray()
        sockets.detect_silence(stream)

    @property
    def is_readable(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""
        return sockets.has_input(self._stream)

    async def send(
        self, message: models.Message, progress: progresses.Progress
    ) -> None:
        """Sends a message.

        Args:
          message: The message.
          progress: Is told when the last byte has been handed over. A message
            that is cut off is never read by the other side.

        Raises:
          UnreachableError: The connection was lost before that.
        """
        content = codec.encode(message)
        data = _LENGTH.pack(len(content)) + content
        sent = 0
        try:
            with memoryview(data) as view:
                while sent < len(data):
                    sent += await self._stream.socket.send(view[sent:])
        except (OSError, trio.ClosedResourceError) as error:
            raise errors.UnreachableError(
                "peer.send", self.peer, f"lost while sending: {error!r}"
            ) from None
        progress.may_have_run = True

    async def receive(self) -> models.Message | None:
        """Returns the next message, or None at the end of the connection.

        Raises:
          ConnectionLostError: The connection was lost.
          ProtocolError: A message is too long or not valid.
        """
        if not await self._fill(_LENGTH.size):
            return None
        (length,) = _LENGTH.unpack_from(self._received)
        if length > self._largest_bytes:
            raise errors.ProtocolError(
                "peer.receive",
                self.peer,
                f"a message of {length} bytes; at most {self._largest_bytes}",
            )
        end = _LENGTH.size + length
        if not await self._fill(end):
            return None
        content = bytes(self._received[_LENGTH.size : end])
        del self._received[:end]
        return codec.decode(content, self.peer)

    def close(self) -> None:
        """Closes the connection at once."""
        self._stream.socket.close()

    async def _fill(self, wanted: int) -> bool:
        """Reads until so many bytes are there; returns False at the end."""
        while len(self._received) < wanted:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as e:
                raise errors.ConnectionLostError(
                    "peer.receive", self.peer, f"lost while reading: {e!r}"
                ) from None
            if not data:
                return False
            self._received += data
        return True
