"""TCP connections and listeners that are tried before they are waited for.

The streams of trio yield to the scheduler at each call, also where nothing
blocks. Each yield costs a pass of the event loop and a system call, and a call
between two nodes sends and receives eight times.
"""

import errno
import ipaddress
import select
import socket
from typing import Any
from typing import Protocol
from typing import Self

import trio

_READ_BYTES = 64 * 1024
_BACKLOG = 1024
# Connections that are accepted before other tasks run again.
_MAX_ACCEPTED_AT_ONCE = 16

# Limits what a client that goes on sending can take of a closing connection.
_CLOSE_TIMEOUT_S = 1.0
_MAX_DISCARDED_BYTES = 1024 * 1024

# A network partition causes neither a reset nor an end of the connection. With
# these, a connection without acknowledgements fails within about 3 s.
_USER_TIMEOUT_MS = 3000
_IDLE_BEFORE_PROBE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2

# Faults of one connection that the kernel reports to `accept`.
_ABORTED_CONNECTION_ERRORS = frozenset(
    [
        errno.ECONNABORTED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.ENOPROTOOPT,
        errno.EPERM,
        errno.EPROTO,
    ]
)


# The process or its host has no descriptors or memory for a connection.
_RESOURCE_ERRORS = frozenset(
    [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
)


def is_out_of_resources(error: OSError) -> bool:
    """Returns whether `accept` may succeed after other sockets are closed."""
    return error.errno in _RESOURCE_ERRORS


def is_orderly_end(failure: trio.BrokenResourceError) -> bool:
    """Returns whether sending failed after the other side had ended its output.

    The kernel reports a reset to one system call only. If that is a send, a
    read after it finds an ordinary end of the stream. A reset after the end of
    the other side's output is reported as EPIPE, any other as ECONNRESET.
    """
    cause = failure.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.EPIPE


class SendObserver(Protocol):
    """Learns when the other side does not read what is sent to it."""

    def send_blocked(self, size: int) -> None:
        """A send of this many bytes has to wait for the other side."""
        ...

    def send_progressed(self, size: int) -> None:
        """The socket has accepted more bytes of that send."""
        ...

    def send_ended(self) -> None:
        """That send is complete, or the connection is lost."""
        ...


class SocketStream(trio.abc.Stream):
    """A connected TCP socket.

    A method yields to the scheduler only where the socket would block. Reading
    waits first, as data rarely has arrived when a task asks for it; only the
    first read of an accepted connection is tried at once.

    Attributes:
      send_observer: Told of sends that have to wait; None for nobody.
    """

    def __init__(
        self, sock: socket.socket, *, is_accepted: bool = False
    ) -> None:
        """Takes over a connected socket that does not block.

        Args:
          sock: The socket.
          is_accepted: Whether the other side opened the connection and has
            probably sent data already.
        """
        if not is_accepted:
            # An accepted socket inherits it from its listener.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._reads_at_once = is_accepted
        self.send_observer: SendObserver | None = None
        # By the awaited event; created when first used.
        self._polls: dict[int, select.poll] = {}

    @classmethod
    async def connect(cls, host: str, port: int) -> Self:
        """Opens a connection.

        Raises:
          OSError: No address of the host accepts the connection.
        """
        failure = OSError(errno.EADDRNOTAVAIL, f"no address of {host!r}")
        for family, address in await _resolve(host, port):
            sock = socket.socket(
                family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
            )
            try:
                await _connect(sock, address)
                return cls(sock)
            except OSError as error:
                sock.close()
                failure = error
            except BaseException:
                sock.close()
                raise
        raise failure

    def fileno(self) -> int:
        """Returns the descriptor; -1 after `close`."""
        return self._socket.fileno()

    def has_input(self) -> bool:
        """Returns whether bytes or the end of the stream can be read."""
        poll = self._polls.get(select.POLLIN) or self._add_poll(select.POLLIN)
        return self._socket.fileno() < 0 or bool(poll.poll(0))

    def is_disconnected(self) -> bool:
        """Returns whether the other side has closed the connection."""
        event = select.POLLRDHUP
        poll = self._polls.get(event) or self._add_poll(event)
        return self._socket.fileno() < 0 or bool(poll.poll(0))

    def enable_keepalive(self) -> None:
        """Makes the connection fail when nothing is acknowledged for 3 s."""
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_BEFORE_PROBE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        ):
            self._socket.setsockopt(level, option, value)

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Sends what the socket takes without blocking; returns its size.

        Raises:
          BrokenResourceError: The connection is lost.
          ClosedResourceError: This side has closed the connection.
        """
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._failure(error) from error

    async def wait_writable(self) -> None:
        """Waits until the socket takes bytes or the connection is lost."""
        await trio.lowlevel.wait_writable(self._socket)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all bytes; see trio.abc.SendStream."""
        sent = self.send_now(data)
        if sent == len(data):
            return
        with memoryview(data) as view:
            await self._send_rest(view[sent:], len(view))

    async def _send_rest(self, rest: memoryview, size: int) -> None:
        observer = self.send_observer
        if observer is not None:
            observer.send_blocked(size)
        try:
            while rest:
                await self.wait_writable()
                sent = self.send_now(rest)
                rest = rest[sent:]
                if observer is not None:
                    observer.send_progressed(sent)
        finally:
            rest.release()
            if observer is not None:
                observer.send_ended()

    async def wait_send_all_might_not_block(self) -> None:
        """See trio.abc.SendStream."""
        await self.wait_writable()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns received bytes; see trio.abc.ReceiveStream."""
        if self._reads_at_once:
            self._reads_at_once = False
        else:
            if self._socket.fileno() < 0:
                raise trio.ClosedResourceError(
                    "this side has closed the socket"
                )
            await trio.lowlevel.wait_readable(self._socket)
        while True:
            try:
                return self._socket.recv(max_bytes or _READ_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._socket)
            except OSError as error:
                raise self._failure(error) from error

    async def aclose(self) -> None:
        """Closes the connection at once; see trio.abc.AsyncResource."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Closes the connection at once, without yielding."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def close_gracefully(self) -> None:
        """Closes the connection after the other side, within a second.

        Closing a socket with unread bytes resets the connection, and the other
        side loses the response that is on its way. So this side ends its
        output first and discards what still arrives.
        """
        discarded = 0
        try:
            self._socket.shutdown(socket.SHUT_WR)
            with trio.move_on_after(_CLOSE_TIMEOUT_S):
                while discarded < _MAX_DISCARDED_BYTES:
                    data = await self.receive_some()
                    if not data:
                        break
                    discarded += len(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The other side has reset the connection, so nothing can be lost.
            pass
        self.close()

    def _add_poll(self, event: int) -> select.poll:
        poll = self._polls[event] = select.poll()
        if self._socket.fileno() >= 0:
            poll.register(self._socket, event)
        return poll

    def _failure(self, error: OSError) -> Exception:
        if self._socket.fileno() < 0:
            return trio.ClosedResourceError("this side has closed the socket")
        return trio.BrokenResourceError(f"socket connection broken: {error}")


class Listener:
    """A bound TCP socket that accepts connections."""

    def __init__(self, sock: socket.socket) -> None:
        """Takes over a listening socket that does not block."""
        self._socket = sock

    @classmethod
    def bind(cls, host: str, port: int) -> Self:
        """Binds an address.

        Raises:
          OSError: The address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server(
            (host, port), family=family, backlog=_BACKLOG
        )
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock)

    async def accept(self) -> list[tuple[SocketStream, str]]:
        """Waits for connections; returns them with the peers' addresses.

        Raises:
          ClosedResourceError: This side has closed the listener.
          OSError: The process cannot take more connections; see
            `is_out_of_resources`.
        """
        accepted: list[tuple[SocketStream, str]] = []
        while not accepted:
            if self._socket.fileno() < 0:
                raise trio.ClosedResourceError("the listener is closed")
            await trio.lowlevel.wait_readable(self._socket)
            while len(accepted) < _MAX_ACCEPTED_AT_ONCE:
                try:
                    sock, address = self._socket.accept()
                    sock.setblocking(False)
                    stream = SocketStream(sock, is_accepted=True)
                except BlockingIOError:
                    break
                except OSError as error:
                    if error.errno in _ABORTED_CONNECTION_ERRORS:
                        continue
                    if accepted:
                        # The next call reports it again.
                        break
                    raise
                accepted.append((stream, f"{address[0]}:{address[1]}"))
        return accepted

    def close(self) -> None:
        """Closes the socket; accepted connections stay open."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


_Address = tuple[socket.AddressFamily, tuple[Any, ...]]


async def _resolve(host: str, port: int) -> list[_Address]:
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        results = await trio.socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM
        )
        return [(family, address) for family, _, _, _, address in results]
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    return [(family, (host, port))]


async def _connect(sock: socket.socket, address: tuple[Any, ...]) -> None:
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, "cannot connect"))
