"""What the socket under a connection tells, and how soon it fails."""

import socket

import trio

# A partition shows neither a reset nor an end of the connection. With these,
# a connection without an acknowledgement fails within about 3 s.
_SILENCE_MS = 3000
_FIRST_PROBE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2


def has_input(stream: trio.SocketStream) -> bool:
    """Returns whether bytes or the end of a connection wait to be read."""
    return stream.socket.fileno() < 0 or stream.socket.is_readable()


def detect_silence(stream: trio.SocketStream) -> None:
    """Makes a connection fail when its peer acknowledges nothing for 3 s."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _FIRST_PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_MS),
    ):
        stream.setsockopt(level, option, value)
