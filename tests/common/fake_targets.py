"""Targets and peers that count executions and disconnect at a given point."""

import enum
import socket
import struct

import trio

from sassafras_wire.http import client as http_client

RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n"
    b"\r\ndone"
)


class CutPoint(enum.Enum):
    """The point at which a target closes the connection."""

    BEFORE_CONNECT = "before connect"
    AFTER_CONNECT = "after connect"
    HALF_REQUEST = "after half of the request"
    WHOLE_REQUEST = "after the whole request"
    HALF_ANSWER = "after half of the answer"
    AFTER_ANSWER = "after the answer"
    NEVER = "never"


class CountingTarget:
    """A target that counts connections and executions.

    A request counts as executed once it has been read completely.
    """

    def __init__(self, address, cut=CutPoint.NEVER, *, reset=False, hang=False):
        self.address = address
        self.cut = cut
        self.executions = 0
        self.connections = 0
        self._reset = reset
        self._hang = hang

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        if self.cut is CutPoint.BEFORE_CONNECT:
            task_status.started()
            return
        host, port = http_client.split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        self.connections += 1
        try:
            while self.cut is not CutPoint.AFTER_CONNECT:
                if not await self._exchange(stream):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if self._reset:
            # Closing with a linger time of zero sends a RST.
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        await trio.aclose_forcefully(stream)

    async def _exchange(self, stream):
        """Serves one request; returns whether the connection stays open."""
        data = bytearray()
        while b"\r\n\r\n" not in data:
            chunk = await stream.receive_some(64)
            if not chunk:
                return False
            data += chunk
            if self.cut is CutPoint.HALF_REQUEST:
                return False
        head, _, body = bytes(data).partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            chunk = await stream.receive_some(4096)
            if not chunk:
                return False
            body += chunk
        self.executions += 1
        if self._hang:
            await trio.sleep_forever()
        if self.cut is CutPoint.WHOLE_REQUEST:
            return False
        if self.cut is CutPoint.HALF_ANSWER:
            await stream.send_all(RESPONSE[: len(RESPONSE) // 2])
            return False
        await stream.send_all(RESPONSE)
        return self.cut is not CutPoint.AFTER_ANSWER
