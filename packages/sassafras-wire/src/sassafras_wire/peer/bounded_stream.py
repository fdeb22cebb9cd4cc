"""A stream of which the websocket library takes little at a time.

The library limits each line of the head of an upgrade, and their number: a head
may have 1 MB. It buffers what a connection sends until a message is complete.
"""

import trio

from sassafras_wire.http import sockets

# The messages that a node receives on links that others open are short.
_READ_BYTES = 4096
_HEAD_BYTES = 16 * 1024


class BoundedStream(trio.abc.Stream):
    """Limits the bytes of an upgrade and of each read.

    Attributes:
      is_upgraded: Set by the owner when the upgrade is complete.
    """

    def __init__(self, stream: sockets.SocketStream) -> None:
        self.is_upgraded = False
        self._stream = stream
        self._head_bytes = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns received bytes; see trio.abc.ReceiveStream."""
        del max_bytes
        data = await self._stream.receive_some(_READ_BYTES)
        if not self.is_upgraded:
            self._head_bytes += len(data)
            if self._head_bytes > _HEAD_BYTES:
                raise trio.BrokenResourceError(
                    f"the head of the upgrade is over {_HEAD_BYTES} bytes"
                )
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all bytes; see trio.abc.SendStream."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """See trio.abc.SendStream."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Closes the connection at once; see trio.abc.AsyncResource."""
        await self._stream.aclose()
