"""Socket state and keepalive options of connections."""

import socket

import trio

# A network partition causes neither a reset nor an end of the connection. With
# these, a connection without acknowledgements fails within about 3 s.
_USER_TIMEOUT_MS = 3000
_IDLE_BEFORE_PROBE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2


def has_input(stream: trio.SocketStream) -> bool:
    """Returns whether bytes or the end of the stream can be read."""
    return stream.socket.fileno() < 0 or stream.socket.is_readable()


def enable_keepalive(stream: trio.SocketStream) -> None:
    """Makes a connection fail when its peer acknowledges nothing for 3 s."""
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_BEFORE_PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        stream.setsockopt(level, option, value)
