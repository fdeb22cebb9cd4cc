"""Bounds on retries, with lost and duplicated messages."""

import random

import hypothesis
from hypothesis import strategies

from sassafras_policy.retries import allowance
from sassafras_policy.retries import guard
from sassafras_policy.retries import repeats

_DEPTH = 10
_FAN_OUT = 2


class CallTree:
    """A call tree in which every leaf fails.

    Retry requests travel hop by hop to the root.
    """

    def __init__(
        self, limit, repeats_by_targets, loss_rate, duplication_rate, seed
    ):
        self.allowance = allowance.RetryAllowance(limit)
        self.retries = 0
        self.calls = 0
        self._guards = [guard.RetryGuard() for _ in range(_DEPTH)]
        self._repeats_by_targets = repeats_by_targets
        self._loss_rate = loss_rate
        self._duplication_rate = duplication_rate
        self._random = random.Random(seed)

    def request_retry(self, depth):
        """Returns whether a node gets a grant, which each hop may lose."""
        if depth == 0:
            return self.allowance.take()
        copies = 1 + (self._random.random() < self._duplication_rate)
        granted = [self.request_retry(depth - 1) for _ in range(copies)]
        if self._random.random() < self._loss_rate:
            return False
        return granted[0]

    def run(self, depth=0):
        """Executes one call, which always fails."""
        self.calls += 1
        if depth == _DEPTH - 1:
            return
        tracker = repeats.RepeatTracker()
        for branch in range(_FAN_OUT):
            sub_call = repeats.fingerprint("GET", f"/s/{branch}", b"")
            for _ in range(self._repeats_by_targets + 1):
                if tracker.is_repeat(sub_call):
                    if not self._guards[depth].take(
                        0.0
                    ) or not self.request_retry(depth):
                        continue
                    self.retries += 1
                else:
                    self._guards[depth].count_first_attempt(0.0)
                self.run(depth + 1)
                tracker.failed(sub_call)


@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
@hypothesis.given(
    limit=strategies.integers(0, 3),
    repeats_by_targets=strategies.integers(0, 3),
    loss_rate=strategies.floats(0, 1),
    duplication_rate=strategies.sampled_from([0.0, 0.2, 0.5]),
    seed=strategies.integers(0, 2**32),
)
def test_retries_stay_within_the_allowance_at_depth_ten(
    limit, repeats_by_targets, loss_rate, duplication_rate, seed
):
    """Guards against retries that multiply along a failing call tree."""
    tree = CallTree(
        limit, repeats_by_targets, loss_rate, duplication_rate, seed
    )
    tree.run()
    assert tree.retries <= limit
    # Without loss the whole allowance is used, so the bound is tight.
    if not loss_rate and not duplication_rate and repeats_by_targets:
        assert tree.retries == limit


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0, 3),
            strategies.sampled_from(["first", "retry"]),
            strategies.integers(0, 5),
        ),
        max_size=300,
    )
)
def test_the_guard_keeps_the_ratio_in_every_window(steps):
    """Guards against bursts of retries at the edge of two windows."""
    node_guard = guard.RetryGuard()
    now = 0.0
    firsts, granted = [], []
    for gap_s, kind, stage in steps:
        now += gap_s
        if kind == "first":
            node_guard.count_first_attempt(now)
            firsts.append(now)
        elif node_guard.take(now, stage):
            granted.append(now)
            start = int(now) - 9
            retries = sum(1 for at in granted if at >= start)
            first_attempts = sum(1 for at in firsts if at >= start)
            assert retries <= max(10, 0.1 * first_attempts)
