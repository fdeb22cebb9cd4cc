"""Late and duplicate responses and retry messages on a peer link."""

import contextlib

import pytest
import trio
import trio.testing

from common import call_nodes
from sassafras_base import errors
from sassafras_node.calls import contexts
from sassafras_node.peers import session
from sassafras_policy.calls import messages
from sassafras_policy.retries import allowance
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

pytestmark = pytest.mark.loopback


def _context():
    return messages.CallContext(
        root_id="root",
        organisation="bank",
        priority=0,
        bucket=0,
        deadline=trio.current_time() + 5,
        depth=0,
        at_most_once=True,
    )


def _call(limit=3):
    granted = allowance.RetryAllowance(limit)
    call = contexts.ActiveCall(_context(), contexts.LocalAuthority(granted))
    return call, granted


def _message(path):
    return models.Call(
        call_id=0,
        root_id="root",
        organisation="bank",
        priority=0,
        bucket=0,
        deadline_ms=5000,
        depth=0,
        at_most_once=True,
        method="GET",
        path=path,
        headers=[],
        body=b"",
    )


def _response(call):
    return models.AnswerMessage(
        call_id=call.call_id,
        outcome="ran",
        status=200,
        headers=[],
        body=call.path.encode(),
    )


@contextlib.asynccontextmanager
async def _peer(serve, folder):
    """Runs a node's peer pools against a peer scripted by the test."""
    caller = call_nodes.make_runtime(folder)
    callee = call_nodes.make_runtime(folder)
    host, port = callee.settings.host.peer_address.rsplit(":", 1)

    async def accept(stream):
        async with trio.open_nursery() as nursery:
            with contextlib.suppress(errors.SassafrasError):
                link = await links.accept_link(
                    nursery, stream, "test", callee.credentials
                )
                await serve(link)
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        nursery.start_soon(caller.peer_pools.run_readers)
        await trio.sleep(0)
        yield caller, callee.table.own_id
        nursery.cancel_scope.cancel()


async def _call_peer(caller, peer, path):
    call, _ = _call()
    try:
        response = await caller.peer_pools.call(peer, _message(path), call)
    except (errors.ConnectionLostError, errors.ProtocolError) as error:
        return error
    return response.body.decode()


async def _duplicate(link):
    while True:
        call = await link.expect(models.Call)
        await link.send(_response(call))
        await link.send(_response(call))


async def _one_late(link):
    """Sends each response after a second copy of the previous one."""
    earlier = None
    while True:
        call = await link.expect(models.Call)
        if earlier is not None:
            await link.send(_response(earlier))
        await link.send(_response(call))
        earlier = call


async def _of_another_call(link):
    while True:
        call = await link.expect(models.Call)
        other = call.model_copy(update={"call_id": call.call_id + 1000})
        await link.send(_response(other))


async def _aborted(link):
    await link.expect(models.Call)
    await link.abort()


@pytest.mark.parametrize(
    ("serve", "succeeds"),
    [
        (_duplicate, True),
        (_one_late, True),
        (_of_another_call, False),
        (_aborted, False),
    ],
)
async def test_each_caller_gets_its_own_response_or_an_error(
    serve, succeeds, tmp_path
):
    """Guards against responses that reach the wrong caller."""
    async with _peer(serve, tmp_path) as (caller, peer):
        for number in range(6):
            path = f"/entry/{number}"
            got = await _call_peer(caller, peer, path)
            assert got == path if succeeds else isinstance(got, Exception)


async def test_responses_on_another_link_match_no_call(tmp_path):
    """Guards against equal call ids on the links of one node."""
    pending = []

    async def swap(link):
        call = await link.expect(models.Call)
        pending.append((link, call))
        if len(pending) == 2:
            (first, first_call), (second, second_call) = pending
            with contextlib.suppress(errors.SassafrasError):
                await first.send(_response(second_call))
            await second.send(_response(first_call))
        await trio.sleep(0.5)

    results = {}
    async with _peer(swap, tmp_path) as (caller, peer):

        async def send_request(path):
            with trio.move_on_after(0.3):
                results[path] = await _call_peer(caller, peer, path)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request, "/entry/a")
            nursery.start_soon(send_request, "/entry/b")
    assert not any(isinstance(got, str) for got in results.values())


async def test_a_duplicate_retry_request_is_counted_once(tmp_path):
    """Guards against duplicate requests that raise the number of retries."""
    grants = []

    async def serve(link):
        call = await link.expect(models.Call)
        for ask_id in (1, 1, 2, 2, 3, 4, 4):
            await link.send(
                models.RetryRequest(call_id=call.call_id, ask_id=ask_id)
            )
            grants.append(await link.expect(models.RetryGrant))
        await link.send(_response(call))

    call, granted = _call()
    async with _peer(serve, tmp_path) as (caller, peer):
        await caller.peer_pools.call(peer, _message("/entry/1"), call)
    assert [(grant.ask_id, grant.granted) for grant in grants] == [
        (1, True),
        (1, True),
        (2, True),
        (2, True),
        (3, True),
        (4, False),
        (4, False),
    ]
    assert granted.granted == 3


class ScriptedLink:
    """Records retry requests; the test supplies the grants."""

    def __init__(self):
        self.requests = []
        self.aborted = False

    async def send(self, message):
        self.requests.append(message)

    async def abort(self):
        self.aborted = True


class StalledLink(ScriptedLink):
    """A link whose other side reads nothing."""

    async def send(self, message):
        await trio.sleep_forever()


async def _request_and_grant(authority, *grants):
    result = []

    async def send_request():
        result.append(await authority.request_retry())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_request)
        await trio.testing.wait_all_tasks_blocked()
        for grant in grants:
            authority.granted(grant)
    return result[0]


def _grant(ask_id, granted=True, call_id=7):
    return models.RetryGrant(call_id=call_id, ask_id=ask_id, granted=granted)


async def test_only_the_grant_of_the_current_request_counts():
    """Guards against late and duplicate grants that raise the total."""
    authority = session.RemoteAuthority(ScriptedLink(), 7)
    assert await _request_and_grant(authority, _grant(1), _grant(1), _grant(2))
    # A duplicate grant of the first request, then the denial of the second.
    assert not await _request_and_grant(authority, _grant(1), _grant(2, False))
    # After a denial no more requests are sent; a stray grant has no effect.
    authority.granted(_grant(3))
    assert not await authority.request_retry()


async def test_grants_of_another_call_are_ignored():
    """Guards against a grant for an earlier call on the same link."""
    authority = session.RemoteAuthority(ScriptedLink(), 7)
    assert not await _request_and_grant(
        authority, _grant(1, call_id=6), _grant(1, False)
    )


@pytest.mark.parametrize("kind", [ScriptedLink, StalledLink])
async def test_a_retry_request_without_a_grant_times_out(kind):
    """Guards against calls that hang because the first node is gone."""
    link = kind()
    authority = session.RemoteAuthority(link, 7)
    started = trio.current_time()
    assert not await authority.request_retry()
    assert not await authority.request_retry()
    waited_s = trio.current_time() - started
    assert waited_s < 2.5 * session.RETRY_REQUEST_TIMEOUT_S
    # A link stalled in the middle of a frame can no longer be used.
    assert link.aborted == (kind is StalledLink)
