"""The client side of a call connection between two nodes."""

import trio

from sassafras_base import errors
from sassafras_policy.calls import progress as progresses
from sassafras_wire.http import client
from sassafras_wire.http import sockets
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import frames

# Maximum message size in either direction. The configuration limits the bodies
# of callers; only this limits those of targets.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# The receiving node closes a connection that is idle for longer.
IDLE_TIMEOUT_S = 60.0
# A call sent while the receiving node closes the connection may be lost, so a
# connection is reused only within this share of that time.
_REUSE_SHARE = 0.8
_STEP = "peer.call"


class CallConnection:
    """Sends one call at a time and receives its response."""

    def __init__(self, stream: sockets.SocketStream, address: str) -> None:
        self._address = address
        self._stream = stream
        self._frames = frames.FrameStream(stream, address, MAX_MESSAGE_BYTES)
        self._is_reusable = True
        self._reuse_until = 0.0
        # Spares two of the three function calls of `trio.current_time`.
        self._now = trio.lowlevel.current_clock().current_time

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> "CallConnection":
        """Opens a connection.

        Raises:
          UnreachableError: The node did not accept within the timeout.
        """
        return cls(await client.open_stream(address, _STEP, timeout_s), address)

    @property
    def transport(self) -> sockets.SocketStream:
        """The connection's socket."""
        return self._stream

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be sent."""
        return self._is_reusable

    def is_stale(self) -> bool:
        """Returns whether the receiving node closed or is about to."""
        if self._now() >= self._reuse_until:
            return True
        return self._stream.has_input()

    async def exchange(
        self, call: bytes, progress: progresses.Progress
    ) -> call_messages.Answer:
        """Sends a call and returns the response.

        Args:
          call: The encoded call.
          progress: Marked when the whole call has been sent.

        Raises:
          UnreachableError: The connection was lost before the whole call was
            sent; it did not run.
          ConnectionLostError: The connection ended without a response; the
            call may have run.
          ProtocolError: The response is not valid.
          MemoryLimitError: The node has no memory left for the response.
        """
        await self._frames.send(call, progress)
        length = await self._frames.receive_length()
        content: bytes | None = None
        if length is not None:
            if progress.memory is not None and not progress.memory.grow(length):
                raise errors.MemoryLimitError(
                    _STEP,
                    self._address,
                    f"no memory for a response of {length} bytes",
                )
            content = await self._frames.receive_content(length)
        if content is None:
            raise errors.ConnectionLostError(
                _STEP, self._address, "closed before it answered"
            )
        response = call_messages.decode_answer(content, self._address)
        self._is_reusable = not response.is_last
        self._reuse_until = self._now() + IDLE_TIMEOUT_S * _REUSE_SHARE
        return response

    async def close(self) -> None:
        """Closes the connection at once."""
        self._frames.close()
