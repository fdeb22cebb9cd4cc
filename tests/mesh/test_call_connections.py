"""Connections on which nodes send calls to each other."""

import struct

import pytest
import trio

from sassafras_base import errors
from sassafras_policy.admission import memory
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.mesh import calls
from sassafras_standins.fleet import launcher
from sassafras_wire.http import client
from sassafras_wire.http import disconnects
from sassafras_wire.http import pool
from sassafras_wire.http import sockets
from sassafras_wire.mesh import call_connection
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import frames
from sassafras_wire.peer import codec

pytestmark = pytest.mark.loopback

BODY = bytes(range(256)) * 1024
CALL = call_messages.encode_call(
    calls.Call(
        request=messages.Request(
            "POST", "/write/1", (("host", "shop.example"),), BODY
        ),
        request_id="a1",
        caller_service="back",
        organisation="",
        service="front",
        context=messages.CallContext(
            root_id="a1",
            organisation="",
            priority=1,
            bucket=3,
            deadline=0.0,
            depth=0,
            at_most_once=True,
        ),
        is_idempotent=False,
        route="safe",
    ),
    "target-1",
    1.0,
)


class _Peer:
    """Accepts connections and passes each one to `serve`."""

    def __init__(self, nursery, serve):
        self.address = launcher.free_address()
        self._nursery = nursery
        self._serve = serve
        self.connections = 0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        listener = sockets.Listener.bind(host, int(port))
        self._nursery.start_soon(self._accept, listener)

    async def _accept(self, listener):
        try:
            while True:
                for stream, _ in await listener.accept():
                    self._nursery.start_soon(self._handle, stream)
        finally:
            listener.close()

    async def _handle(self, stream):
        self.connections += 1
        try:
            await self._serve(stream)
        finally:
            stream.close()

    async def connect(self):
        return await call_connection.CallConnection.connect(self.address, 1.0)


async def _with_peer(serve, use):
    async with trio.open_nursery() as nursery:
        peer = _Peer(nursery, serve)
        await peer.start()
        with trio.fail_after(5):
            await use(peer)
        nursery.cancel_scope.cancel()


async def _answer_calls(stream, is_last=False):
    other = frames.FrameStream(
        stream, "caller", call_connection.MAX_MESSAGE_BYTES
    )
    while (content := await other.receive()) is not None:
        call = codec.decode(content, "caller")
        response = messages.CallResponse(
            outcome=outcomes.Outcome.RAN,
            status=201,
            headers=(("etag", "x"),),
            body=call.body,
            load=0.5,
            levels=((call.service, 200),),
        )
        await other.send(
            call_messages.encode_answer(response, is_last),
            progresses.Progress(),
        )


async def test_a_call_and_its_response_arrive_complete():
    """Guards against bodies that are truncated or mixed between two calls."""

    async def use(peer):
        connection = await peer.connect()
        for _ in range(2):
            reply = await connection.exchange(CALL, progresses.Progress())
            response = call_messages.to_response(reply, "front")
            assert (response.status, response.body) == (201, BODY)
            assert response.levels == (("front", 200),)
            assert connection.is_reusable
            assert not connection.is_stale()

    await _with_peer(_answer_calls, use)


async def test_progress_matches_the_error_on_a_closed_connection():
    """Guards against a 502 for a call that no node received completely."""

    async def close_at_once(stream):
        await trio.aclose_forcefully(stream)

    async def use(peer):
        connection = await peer.connect()
        await trio.sleep(0.05)
        progress = progresses.Progress()
        with pytest.raises(errors.SassafrasError) as lost:
            await connection.exchange(CALL, progress)
        is_unreachable = isinstance(lost.value, errors.UnreachableError)
        assert progress.may_have_run is not is_unreachable

    await _with_peer(close_at_once, use)


async def test_a_lost_response_means_that_the_call_may_have_run():
    """Guards against a second execution of a call that has run."""

    async def read_and_close(stream):
        other = frames.FrameStream(
            stream, "caller", call_connection.MAX_MESSAGE_BYTES
        )
        await other.receive()
        await trio.aclose_forcefully(stream)

    async def use(peer):
        connection = await peer.connect()
        progress = progresses.Progress()
        with pytest.raises(errors.ConnectionLostError):
            await connection.exchange(CALL, progress)
        assert progress.may_have_run

    await _with_peer(read_and_close, use)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!I", 2**31),
        struct.pack("!I", 3) + b"abc",
        struct.pack("!I", 1) + b"\xa0",
    ],
)
async def test_invalid_responses_are_refused(data):
    """Guards against a node that crashes or waits on invalid responses."""

    async def send(stream):
        other = frames.FrameStream(
            stream, "caller", call_connection.MAX_MESSAGE_BYTES
        )
        await other.receive()
        await stream.send_all(data)
        await trio.sleep_forever()

    async def use(peer):
        connection = await peer.connect()
        with pytest.raises(errors.ProtocolError):
            await connection.exchange(CALL, progresses.Progress())

    await _with_peer(send, use)


async def test_a_response_beyond_the_memory_for_responses_is_not_read():
    """Guards against a node that the responses of other nodes fill."""

    async def use(peer):
        connection = await peer.connect()
        budget = memory.ResponseBudget(len(BODY))
        progress = progresses.Progress(memory=budget.open())
        with pytest.raises(errors.MemoryLimitError):
            await connection.exchange(CALL, progress)
        assert progress.may_have_run
        assert budget.held_bytes == 0

    await _with_peer(_answer_calls, use)


async def test_a_discarded_message_is_followed_by_the_next_one():
    """Guards against calls that are lost behind one that is refused."""

    async def discard_one(stream):
        other = frames.FrameStream(
            stream, "caller", call_connection.MAX_MESSAGE_BYTES
        )
        length = await other.receive_length()
        assert length == len(CALL)
        assert await other.discard(length)
        for content in (await other.receive(), b"end"):
            await other.send(content, progresses.Progress())

    async def use(peer):
        host, port = client.split_address(peer.address)
        stream = await sockets.SocketStream.connect(host, port)
        own = frames.FrameStream(stream, "peer", 1024 * 1024)
        for content in (CALL, b"second"):
            await own.send(content, progresses.Progress())
        assert [await own.receive() for _ in range(2)] == [b"second", b"end"]
        stream.close()

    await _with_peer(discard_one, use)


async def test_a_connection_closed_by_the_peer_is_not_reused():
    """Guards against calls that are lost at a stopping node."""

    async def answer_last(stream):
        await _answer_calls(stream, is_last=True)

    async def use(peer):
        connections = pool.Pool(peer.connect, 4)
        for _ in range(2):
            await connections.use(
                lambda c: c.exchange(CALL, progresses.Progress())
            )
        assert peer.connections == 2

    await _with_peer(answer_last, use)


async def test_work_ends_soon_after_its_caller_disconnects():
    """Guards against targets that work for callers that have disconnected."""
    ended = trio.Event()

    async def serve(stream):
        watcher = disconnects.DisconnectMonitor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            with watcher.watch(stream) as watch:
                watch.start()
                await trio.sleep_forever()
            ended.set()
            nursery.cancel_scope.cancel()

    async def use(peer):
        connection = await peer.connect()
        await trio.sleep(0.2)
        assert not ended.is_set()
        await connection.close()
        await ended.wait()

    await _with_peer(serve, use)


async def test_an_answer_cut_at_any_byte_is_lost():
    """Guards against the response of another node that ends early, as whole."""
    answer = call_messages.encode_answer(
        messages.CallResponse(
            outcome=outcomes.Outcome.RAN, headers=(("etag", "x"),), body=b"0123"
        ),
        False,
    )
    whole = struct.pack("!I", len(answer)) + answer
    cuts = iter(range(len(whole)))

    async def cut_answer(stream):
        other = frames.FrameStream(
            stream, "caller", call_connection.MAX_MESSAGE_BYTES
        )
        await other.receive()
        await stream.send_all(whole[: next(cuts)])

    async def use(peer):
        for _ in range(len(whole)):
            connection = await peer.connect()
            progress = progresses.Progress()
            with pytest.raises(errors.ConnectionLostError):
                await connection.exchange(CALL, progress)
            assert progress.may_have_run
            await connection.close()

    await _with_peer(cut_answer, use)
