"""Requests for tokens whose exchange fails, on a mock clock."""

import enum

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from sassafras_base import clock as clocks
from sassafras_base import errors
from sassafras_node.limits import exchange
from sassafras_node.limits import gate as gates
from sassafras_policy.configuration import document
from sassafras_policy.limits import limiters
from sassafras_policy.limits import pooled_share
from sassafras_policy.limits import transfers
from sassafras_policy.membership import roster
from sassafras_wire.peer import converters
from sassafras_wire.peer import models

_OWN = "own"
_NAMES = tuple(f"tenant-{number}" for number in range(6))
_BACKOFF_S = 0.1
# An exchange that the last step has begun times out after a second, and its
# task starts anew a tenth later.
_QUIET_S = 2.0
# A request waits for 50 ms, and one that failed is repeated after 300 ms.
_ATTEMPTS = 20
_ATTEMPT_S = 0.1


class _Answer(enum.Enum):
    """What becomes of a request for tokens."""

    GRANT = "grant"
    LATE = "late"
    SILENT = "silent"
    LOST = "lost"
    OTHER_NUMBER = "other number"
    UNREACHABLE = "unreachable"


class _Link:
    """Takes the place of a link to a holder."""

    def __init__(self, node):
        self._node = node
        self._number = 0

    async def send(self, message):
        await trio.sleep(0.001)
        self._number = message.number

    async def expect(self, model):
        assert model is models.TokenGrant
        answer = self._node.answer
        if answer is _Answer.LATE:
            await trio.sleep(0.5)
        if answer is _Answer.SILENT:
            await trio.sleep_forever()
        if answer is _Answer.LOST:
            raise errors.ConnectionLostError("peer.receive", "holder", "lost")
        is_other = answer is _Answer.OTHER_NUMBER
        return converters.grant_to_message(
            self._number + is_other, transfers.Grant(20.0, 1.0, 0.0)
        )

    async def abort(self):
        pass


class _Node:
    """A node with the tasks that exchange tokens with two holders."""

    def __init__(self, nursery):
        self.answer = _Answer.GRANT
        self.clock = clocks.TrioClock()
        self.limiter = pooled_share.PooledShare()
        self.limit_gate = gates.LimitGate(self.limiter, self.clock)
        self._nursery = nursery
        self._scopes = {}

    async def open_limit_link(self, nursery, holder):
        del nursery
        if self.answer is _Answer.UNREACHABLE:
            await trio.sleep(0.01)
            raise errors.UnreachableError("limits.ask", holder, "cut")
        return _Link(self)

    def configure(self, *others):
        """Applies the nodes that may own pools, and keeps their tasks."""
        self.limiter.configure(
            limiters.LimiterContext(
                organisations=tuple(
                    document.Organisation(name, 100.0, 100.0) for name in _NAMES
                ),
                own_id=_OWN,
                hosts=20,
                roster=roster.Roster(),
                settled=True,
                nodes=others,
            ),
            self.clock.now_with_suspend(),
        )
        for holder in list(self._scopes):
            if holder not in self.limiter.holders:
                self._scopes.pop(holder).cancel()
        for holder in self.limiter.holders:
            if holder not in self._scopes:
                self._scopes[holder] = trio.CancelScope()
                self._nursery.start_soon(
                    self._exchange, holder, self._scopes[holder]
                )

    async def _exchange(self, holder, scope):
        with scope:
            while True:
                try:
                    await exchange.run(self, holder)
                except* (errors.SassafrasError, trio.TooSlowError):
                    await trio.sleep(_BACKOFF_S)

    def ask(self, name):
        self._nursery.start_soon(self.limit_gate.admit, name)

    async def is_served(self, name):
        for _ in range(_ATTEMPTS):
            if await self.limit_gate.admit(name) is None:
                return True
            await trio.sleep(_ATTEMPT_S)
        return False


def _run(function, *arguments):
    async def main():
        async with trio.open_nursery() as nursery:
            node = _Node(nursery)
            node.configure("a", "b")
            await trio.testing.wait_all_tasks_blocked()
            await function(node, *arguments)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _check_all_served(node):
    node.answer = _Answer.GRANT
    await trio.sleep(_QUIET_S)
    starved = [name for name in _NAMES if not await node.is_served(name)]
    assert not starved


@pytest.mark.parametrize(
    "answer", [a for a in _Answer if a is not _Answer.GRANT]
)
def test_requests_behind_a_failed_one_are_made_again(answer):
    """Guards against organisations that are refused for good (Starved).

    A frozen holder left the requests that waited behind the one in hand in
    flight forever, so no further one of these organisations was made.
    """

    async def play(node):
        node.answer = answer
        for name in _NAMES:
            node.ask(name)
        await trio.sleep(_QUIET_S)
        await _check_all_served(node)

    _run(play)


_STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("answer"), strategies.sampled_from(_Answer)
    ),
    strategies.tuples(strategies.just("ask"), strategies.sampled_from(_NAMES)),
    strategies.tuples(
        strategies.just("holders"),
        strategies.sampled_from([("a", "b"), ("a",), ("b",)]),
    ),
    strategies.tuples(
        strategies.just("wait"),
        strategies.sampled_from([0.0, 0.002, 0.03, 0.3, 1.2]),
    ),
)


@hypothesis.given(strategies.lists(_STEPS, max_size=40))
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_no_order_of_failures_leaves_a_request_in_flight(steps):
    """Guards against a path that ends an exchange and not its requests."""

    async def play(node):
        for kind, value in steps:
            if kind == "answer":
                node.answer = value
            elif kind == "ask":
                node.ask(value)
            elif kind == "holders":
                node.configure(*value)
            else:
                await trio.sleep(value)
        await _check_all_served(node)

    _run(play)
