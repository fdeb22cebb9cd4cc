"""A failing call tree of depth 10 on real sessions over loopback."""

import random

import pytest
import trio

from common import call_nodes
from sassafras_node.calls import entry
from sassafras_policy.calls import messages
from sassafras_standins import serving
from sassafras_wire.http import pool
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

_DEPTH = 10
_FAN_OUT = 2
_REPEATS = 1
_LOSS_PROBABILITY = 0.1
_DUPLICATE_PROBABILITY = 0.2

pytestmark = pytest.mark.loopback


class FailingTarget:
    """Calls the next service twice, retries failures, and then fails."""

    totals = {"retries": 0, "calls": 0}

    def __init__(self, host, level, depth):
        self._level = level
        self._depth = depth
        self._node = pool.ConnectionPool(
            host.sub_call_address,
            "test.sub_call",
            size=256,
            body_limit=10_000,
            connect_timeout_s=1.0,
        )

    async def handle(self, request):
        self.totals["calls"] += 1
        if self._level + 1 < self._depth:
            for branch in range(_FAN_OUT):
                await self._sub_call(request, branch)
        return serving.response(b"failed", 500)

    async def _sub_call(self, request, branch):
        context = request.header("sassafras-context")
        sub_request = messages.Request(
            "GET",
            f"/s{self._level + 1}/{branch}",
            (("sassafras-context", context),),
            b"",
        )
        for attempt in range(_REPEATS + 1):
            response = await self._node.exchange(sub_request)
            outcome = dict(response.headers)["sassafras-outcome"]
            if attempt and "retries-exhausted" not in outcome:
                self.totals["retries"] += 1


class Faults:
    """Drops and duplicates retry messages on every link."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._send = links.Link.send
        self.lost = 0
        self.duplicated = 0

    async def send(self, link, message):
        if isinstance(message, models.RetryRequest | models.RetryGrant):
            if self._random.random() < _LOSS_PROBABILITY:
                self.lost += 1
                return
            if self._random.random() < _DUPLICATE_PROBABILITY:
                self.duplicated += 1
                await self._send(link, message)
        await self._send(link, message)


async def _run_tree(depth):
    services = [f"s{level}" for level in range(depth)]
    FailingTarget.totals = {"retries": 0, "calls": 0}
    async with (
        trio.open_nursery() as nursery,
        call_nodes.fleet(nursery, services, deadline_ms=100_000) as fleet,
    ):
        for level, service in enumerate(services):
            host = await fleet.add(service)
            target = FailingTarget(host, level, depth)
            await nursery.start(
                serving.listen, host.target_address, target.handle
            )
        response = await entry.handle_root(
            fleet.hosts[0].runtime, call_nodes.request("GET", "/s0/1")
        )
        assert response.status == 500
    return FailingTarget.totals


async def test_a_failing_tree_makes_three_retries_in_total():
    """Guards against retries that multiply with depth and fan-out."""
    totals = await _run_tree(_DEPTH)
    assert totals["retries"] == 3
    assert totals["calls"] >= 2**_DEPTH - 1


@pytest.mark.parametrize(("seed", "depth"), [(1, _DEPTH), (2, 6), (3, 6)])
async def test_lost_and_duplicated_requests_never_raise_the_total(
    seed, depth, monkeypatch
):
    """Guards against grants that are used twice or by another request."""
    faults = Faults(seed)

    async def send(link, message):
        await faults.send(link, message)

    monkeypatch.setattr(links.Link, "send", send)
    monkeypatch.setattr(
        "sassafras_node.peers.session.RETRY_REQUEST_TIMEOUT_S", 0.05
    )
    totals = await _run_tree(depth)
    assert totals["retries"] <= 3
    assert faults.lost > 0
    assert faults.duplicated > 0
