"""Forged keys, context tokens and peers."""

import contextlib

import pytest
import trio
from websockets.trio import client as trio_client

from common import call_nodes
from sassafras_base import errors
from sassafras_node.calls import entry
from sassafras_policy.calls import messages
from sassafras_standins import serving
from sassafras_wire.peer import authentication
from sassafras_wire.peer import codec
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

pytestmark = pytest.mark.loopback


class Parent:
    """A target that makes a sub-call with a chosen token while it runs."""

    def __init__(self):
        self.token = ""
        self.headers = []
        self.during = None

    async def handle(self, request):
        self.headers.append(dict(request.headers))
        self.token = request.header("sassafras-context")
        if self.during is not None:
            during, self.during = self.during, None
            await during()
        return serving.response(b"done")


def _sub_call(path, token, *fields):
    headers = [*fields]
    if token is not None:
        headers.append(("sassafras-context", token))
    return messages.Request("GET", path, tuple(headers), b"")


@contextlib.asynccontextmanager
async def _two_hosts():
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, ["entry"]) as fleet,
    ):
        parents = []
        for _ in range(2):
            host = await fleet.add("entry")
            parent = Parent()
            await nursery.start(
                serving.listen, host.target_address, parent.handle
            )
            parents.append(parent)
        yield fleet.hosts, parents


BEARER = ("authorization", f"Bearer {call_nodes.KEY}")


@pytest.mark.parametrize(
    ("forge", "path", "fields", "status"),
    [
        (lambda token: token, "/entry/1", (), 200),
        (lambda token: None, "/entry/1", (), 401),
        (lambda token: "", "/entry/1", (), 401),
        (lambda token: "x" * len(token), "/entry/1", (), 401),
        (lambda token: token + "x", "/entry/1", (), 401),
        (lambda token: token[:-1], "/entry/1", (), 401),
        (lambda token: token.swapcase(), "/entry/1", (), 401),
        # A target cannot use a caller's key.
        (lambda token: None, "/entry/1", (BEARER,), 401),
        (lambda token: None, "/entry/open", (), 200),
        (lambda token: "forged", "/entry/open", (), 200),
        (
            lambda token: None,
            "/entry/1",
            (("sassafras-organisation", "bank"),),
            401,
        ),
    ],
)
async def test_sub_calls_with_a_token(forge, path, fields, status):
    """Guards against sub-calls on behalf of an organisation without a call."""
    async with _two_hosts() as (hosts, parents):
        runtime = hosts[0].runtime
        got = []

        async def during():
            request = _sub_call(path, forge(parents[0].token), *fields)
            got.append(await entry.handle_sub_call(runtime, request))

        parents[0].during = during
        response = await entry.handle_root(
            runtime, call_nodes.request("GET", "/entry/1")
        )
        assert response.status == 200
        assert got[0].status == status


async def test_a_token_is_invalid_at_another_node_and_after_its_call():
    """Guards against tokens that are valid beyond their call."""
    async with _two_hosts() as (hosts, parents):
        got = []

        async def during():
            request = _sub_call("/entry/1", parents[0].token)
            got.append(await entry.handle_sub_call(hosts[1].runtime, request))

        parents[0].during = during
        await entry.handle_root(
            hosts[0].runtime, call_nodes.request("GET", "/entry/1")
        )
        request = _sub_call("/entry/1", parents[0].token)
        got.append(await entry.handle_sub_call(hosts[0].runtime, request))
        # Callers cannot use tokens either.
        got.append(await entry.handle_root(hosts[0].runtime, request))
        assert [response.status for response in got] == [401, 401, 401]


@pytest.mark.parametrize(
    "authorization",
    [
        "",
        "Bearer",
        "Bearer ",
        "Bearer forged",
        f"Basic {call_nodes.KEY}",
        f"Bearer {call_nodes.KEY}x",
        f"Bearer {call_nodes.KEY.upper()}",
        call_nodes.KEY,
    ],
)
async def test_forged_keys(authorization):
    """Guards against requests that run without a valid key."""
    async with _two_hosts() as (hosts, parents):
        request = messages.Request(
            "GET",
            "/entry/1",
            (
                ("authorization", authorization),
                ("sassafras-organisation", "bank"),
            ),
            b"",
        )
        response = await entry.handle_root(hosts[0].runtime, request)
        assert response.status == 401
        assert not parents[0].headers


async def test_a_target_sees_the_organisation_of_the_key_only():
    """Guards against callers that name another organisation."""
    async with _two_hosts() as (hosts, parents):
        await entry.handle_root(
            hosts[0].runtime,
            call_nodes.request(
                "GET",
                "/entry/1",
                sassafras_organisation="cooperative",
                sassafras_context="forged",
                cookie="secret",
            ),
        )
        (seen,) = parents[0].headers
        assert seen["sassafras-organisation"] == "bank"
        assert seen["sassafras-context"] != "forged"
        assert "cookie" not in seen
        assert "authorization" not in seen


async def test_a_peer_without_the_secret_cannot_send_calls():
    """Guards against calls from unauthenticated peers."""
    async with _two_hosts() as (hosts, parents):
        runtime = hosts[0].runtime
        forged = links.Credentials(
            runtime.credentials.identity,
            authentication.Secret(b"another secret of 16 bytes"),
        )
        call = models.Call(
            call_id=1,
            root_id="root",
            organisation="bank",
            priority=0,
            bucket=0,
            deadline_ms=1000,
            depth=0,
            at_most_once=False,
            method="GET",
            path="/entry/1",
            headers=[],
            body=b"",
        )
        async with trio.open_nursery() as nursery:
            with pytest.raises(
                (errors.AuthenticationError, errors.UnreachableError)
            ):
                await links.open_link(nursery, hosts[0].node_id, forged)
            nursery.cancel_scope.cancel()
        # A call instead of the hello message ends the connection.
        host, port = hosts[0].node_id.rsplit(":", 1)
        async with trio.open_nursery() as nursery:
            connection = await trio_client.connect(
                f"ws://{host}:{port}/", compression=None
            ).connect(nursery)
            await connection.send(codec.encode(call))
            with pytest.raises(Exception, match=r"close|frame"):
                await connection.recv()
            nursery.cancel_scope.cancel()
        assert not parents[0].headers
