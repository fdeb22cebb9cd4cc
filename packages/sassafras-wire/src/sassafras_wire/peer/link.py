"""An authenticated websocket between two nodes."""

import dataclasses
import itertools
from typing import TypeVar

import trio
from websockets import exceptions
from websockets import protocol as websocket_protocol
from websockets import server as websocket_server
from websockets.trio import client as trio_client
from websockets.trio import connection as trio_connection
from websockets.trio import server as trio_server

from sassafras_base import errors
from sassafras_wire.peer import authentication
from sassafras_wire.peer import codec
from sassafras_wire.peer import models

CLOSE_TIMEOUT_S = 1.0

_CALL_MESSAGES = (
    models.Call,
    models.AnswerMessage,
    models.RetryRequest,
    models.RetryGrant,
)

M = TypeVar("M", bound=models.Message)


async def _no_handler(stream: trio.abc.Stream) -> None:
    await trio.aclose_forcefully(stream)


# `ServerConnection` reads `closing` from its server. The supervisor tree
# accepts the connections, so this server has no listeners.
_SERVER = trio_server.Server([], _no_handler)


# Shared by all links, so that a response never matches a call on another link.
_call_ids = itertools.count(1)


@dataclasses.dataclass(slots=True)
class ControlTraffic:
    """Counts the control messages of all links of a node, without calls.

    Attributes:
      messages: Messages sent and received.
      payload_bytes: Their size, without the headers of lower layers.
    """

    messages: int = 0
    payload_bytes: int = 0

    def count(self, message: models.Message, size: int) -> None:
        """Counts a message unless it is part of a call."""
        if not isinstance(message, _CALL_MESSAGES):
            self.messages += 1
            self.payload_bytes += size


class Link:
    """Sends and receives messages on one websocket.

    Attributes:
      peer: Authenticated identity of the peer.
      address: Address of the peer.
      bytes_sent: Bytes of all frames sent.
      bytes_received: Bytes of all frames received.
      traffic: Where control messages are counted.
      document_revisions: Newest revision of each kind of document sent or
        fetched.
    """

    def __init__(
        self,
        connection: trio_connection.Connection,
        address: str,
        traffic: ControlTraffic | None = None,
    ) -> None:
        self.address = address
        self.traffic = traffic or ControlTraffic()
        self.peer = authentication.Identity("", 0, "")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.document_revisions: dict[str, int] = {}
        self._connection = connection

    @property
    def is_open(self) -> bool:
        """Whether the link is open, as far as this side has noticed."""
        return self._connection.protocol.state is websocket_protocol.State.OPEN

    def next_call_id(self) -> int:
        """Returns a call id that is unique in this process."""
        return next(_call_ids)

    async def send(self, message: models.Message) -> None:
        """Sends a message.

        Raises:
          ConnectionLostError: The link is closed; the message may have
            arrived.
        """
        data = codec.encode(message)
        try:
            await self._connection.send(data)
        except (exceptions.ConnectionClosed, trio.BrokenResourceError) as error:
            raise errors.ConnectionLostError(
                "peer.send", self.address, f"link lost: {error!r}"
            ) from None
        self.bytes_sent += len(data)
        self.traffic.count(message, len(data))

    async def receive(self) -> models.Message:
        """Returns the next message.

        Raises:
          ConnectionLostError: The link is closed.
          ProtocolError: The frame is not a valid message.
        """
        try:
            data = await self._connection.recv()
        except (exceptions.ConnectionClosed, trio.BrokenResourceError) as error:
            raise errors.ConnectionLostError(
                "peer.receive", self.address, f"link lost: {error!r}"
            ) from None
        self.bytes_received += len(data)
        message = codec.decode(data, self.address)
        self.traffic.count(message, len(data))
        return message

    async def expect(self, kind: type[M]) -> M:
        """Returns the next message, which must be of the given type.

        Raises:
          ProtocolError: It is of another type or not valid.
          ConnectionLostError: The link is closed.
        """
        message = await self.receive()
        if not isinstance(message, kind):
            raise errors.ProtocolError(
                "peer.receive",
                self.address,
                f"got {message.type!r}, expected {kind.__name__}",
            )
        return message

    async def close(self) -> None:
        """Closes the link; waits at most the close timeout."""
        with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
            scope.shield = True
            await self._connection.aclose()

    def forget_failure(self) -> None:
        """Releases the memory of a message that could not be sent.

        The library keeps the error of a connection that has ended, whose
        traceback holds the message and the connection itself until the next
        garbage collection.
        """
        self._connection.connection_exc = None

    async def abort(self) -> None:
        """Closes the link at once, without a closing handshake."""
        await trio.aclose_forcefully(self._connection.stream)


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """What a node needs to authenticate its links and count their messages."""

    identity: authentication.Identity
    secret: authentication.Secret
    timeout_s: float = 5.0
    traffic: ControlTraffic = dataclasses.field(default_factory=ControlTraffic)


async def connect(
    nursery: trio.Nursery,
    address: str,
    timeout_s: float,
    traffic: ControlTraffic | None = None,
) -> Link:
    """Connects to a node without authentication of either side.

    Args:
      nursery: Runs the websocket's reader until the link is closed.
      address: `host:port` of the node's listener.
      timeout_s: Timeout of the connection and the upgrade together.
      traffic: Where control messages are counted.

    Raises:
      RefusedError: Nothing listens at the address.
      UnreachableError: The node could not be reached.
    """
    connector = trio_client.connect(
        f"ws://{address}/",
        compression=None,
        proxy=None,
        user_agent_header=None,
        open_timeout=timeout_s,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=codec.MAX_FRAME_BYTES,
    )
    try:
        connection = await connector.connect(nursery)
    except (OSError, TimeoutError, exceptions.InvalidHandshake) as error:
        # Trio wraps the error of a single attempt.
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        kind = errors.RefusedError if is_refused else errors.UnreachableError
        raise kind(
            "peer.connect", address, f"cannot connect: {error!r}"
        ) from None
    return Link(connection, address, traffic)


async def open_link(
    nursery: trio.Nursery, address: str, credentials: Credentials
) -> Link:
    """Connects to a node and authenticates both sides.

    Args:
      nursery: Runs the websocket's reader until the link is closed.
      address: `host:port` of the node's peer listener.
      credentials: This node's identity and secret.

    Raises:
      UnreachableError: The node could not be reached.
      AuthenticationError: The node does not have the peer secret.
    """
    link = await connect(
        nursery, address, credentials.timeout_s, credentials.traffic
    )
    try:
        with trio.fail_after(credentials.timeout_s):
            await _open_handshake(link, credentials)
    except (errors.ConnectionLostError, trio.TooSlowError) as error:
        await link.abort()
        raise errors.UnreachableError(
            "peer.connect", address, f"handshake failed: {error!r}"
        ) from None
    except BaseException:
        await link.abort()
        raise
    return link


async def accept_link(
    nursery: trio.Nursery,
    stream: trio.abc.Stream,
    address: str,
    credentials: Credentials,
) -> Link:
    """Upgrades an accepted stream and authenticates both sides.

    Raises:
      ProtocolError: The peer does not use the peer protocol.
      AuthenticationError: The peer does not have the peer secret.
      ConnectionLostError: The peer closed the connection.
    """
    link = await upgrade(
        nursery, stream, address, credentials.timeout_s, credentials.traffic
    )
    try:
        with trio.fail_after(credentials.timeout_s):
            await _accept_handshake(link, credentials)
    except trio.TooSlowError:
        await link.abort()
        raise errors.ProtocolError(
            "peer.accept",
            address,
            f"no proof within {credentials.timeout_s:.0f} s",
        ) from None
    except BaseException:
        await link.abort()
        raise
    return link


async def upgrade(
    nursery: trio.Nursery,
    stream: trio.abc.Stream,
    address: str,
    timeout_s: float,
    traffic: ControlTraffic | None = None,
    max_bytes: int = codec.MAX_FRAME_BYTES,
) -> Link:
    """Upgrades an accepted stream, without authentication.

    Args:
      nursery: Runs the websocket's reader until the link is closed.
      stream: The connection.
      address: Address of the peer.
      timeout_s: Timeout of the upgrade.
      traffic: Where control messages are counted.
      max_bytes: Maximum size of a received message.

    Raises:
      ProtocolError: The peer does not use the peer protocol.
    """
    protocol = websocket_server.ServerProtocol(max_size=max_bytes)
    connection = trio_server.ServerConnection(
        nursery,
        stream,
        protocol,
        _SERVER,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
    )
    link = Link(connection, address, traffic)
    try:
        with trio.fail_after(timeout_s):
            await connection.handshake(server_header=None)
            if protocol.handshake_exc is not None:
                raise errors.ProtocolError(
                    "peer.accept", address, "not a websocket handshake"
                )
    except trio.TooSlowError:
        await link.abort()
        raise errors.ProtocolError(
            "peer.accept", address, f"no upgrade within {timeout_s:.0f} s"
        ) from None
    except BaseException:
        await link.abort()
        raise
    return link


async def _open_handshake(link: Link, credentials: Credentials) -> None:
    hello = authentication.make_hello(credentials.identity)
    await link.send(hello)
    challenge = await link.expect(models.Challenge)
    proof = authentication.check_challenge(hello, challenge, credentials.secret)
    await link.send(proof)
    await link.expect(models.Welcome)
    link.peer = authentication.Identity(
        challenge.node_id, challenge.incarnation, challenge.availability_zone
    )


async def _accept_handshake(link: Link, credentials: Credentials) -> None:
    hello = await link.expect(models.Hello)
    challenge = authentication.make_challenge(
        credentials.identity, hello, credentials.secret
    )
    await link.send(challenge)
    proof = await link.expect(models.Proof)
    authentication.check_proof(hello, challenge, proof, credentials.secret)
    await link.send(models.Welcome())
    link.peer = authentication.Identity(
        hello.node_id, hello.incarnation, hello.availability_zone
    )
