"""A node whose processor is full."""

import random

import pytest
import trio

from sassafras_base import clock as clocks
from sassafras_node import drain as drains
from sassafras_node.mesh import processor_lag
from sassafras_policy.admission import levels
from sassafras_policy.admission import priorities
from sassafras_policy.admission import processor
from sassafras_policy.calls import messages

_CLASSES = 3
_SCALE = priorities.scale_of_classes(_CLASSES)
_STEP_S = 0.05
_SERVE_S = 0.002
# A refusal is parsed and answered, but neither sent on nor waited for.
_REFUSE_S = 0.0004
_TIMEOUT_S = 0.5


def _context(rank):
    return messages.CallContext(
        "r",
        "acme",
        rank // messages.BUCKET_COUNT,
        rank % messages.BUCKET_COUNT,
        0.0,
        0,
        False,
    )


def _play(load, seconds, with_admission=True):
    """Plays root requests at a node; returns goodput and lags by second.

    The node works through what it has read in order. What it finishes later
    than the time-out of its caller is lost.
    """
    admission = processor.ProcessorAdmission()
    admission.rescale(_SCALE)
    rng = random.Random(7)
    arrivals_per_step = int(load * _STEP_S / _SERVE_S)
    backlog_s = 0.0
    served = []
    lags = []
    for step in range(int(seconds / _STEP_S)):
        now = step * _STEP_S
        admission.record_lag(backlog_s, now)
        for _ in range(arrivals_per_step):
            rank = rng.randrange(_CLASSES * messages.BUCKET_COUNT)
            admission.record_call(rank)
            refused = with_admission and levels.refuses(
                admission.level, _context(rank)
            )
            backlog_s += _REFUSE_S if refused else _SERVE_S
            if not refused and backlog_s < _TIMEOUT_S:
                served.append((now, rank))
        backlog_s = max(0.0, backlog_s - _STEP_S)
        lags.append((now, backlog_s))
    return served, lags


@pytest.mark.parametrize("load", [1.3, 1.8])
def test_a_full_node_keeps_its_goodput(load):
    """Guards against a node that serves only what is late already."""
    served, lags = _play(load, 12.0)
    late = [entry for entry in served if entry[0] >= 6.0]
    # What refusals take of the processor cannot serve.
    share = (1.0 - load * _REFUSE_S / _SERVE_S) / (1.0 - _REFUSE_S / _SERVE_S)
    goodput = len(late) * _SERVE_S / 6.0
    assert goodput >= 0.9 * share
    assert max(lag for now, lag in lags if now >= 6.0) < _TIMEOUT_S / 2
    without, _ = _play(load, 12.0, with_admission=False)
    assert len([e for e in without if e[0] >= 6.0]) < len(late)


def test_the_most_important_requests_are_served_by_a_full_node():
    """Guards against a full node that refuses without regard to class."""
    served, _ = _play(1.8, 12.0)
    counts = [0] * _CLASSES
    for now, rank in served:
        if now >= 6.0:
            counts[rank // messages.BUCKET_COUNT] += 1
    offered = 1.8 * 6.0 / _SERVE_S / _CLASSES
    assert counts[0] > 0.95 * offered
    assert counts[2] < 0.5 * offered


def test_a_node_with_room_refuses_nothing():
    """Guards against refusals at a load that the node can serve."""
    served, _ = _play(0.9, 6.0)
    assert len(served) == int(0.9 * _STEP_S / _SERVE_S) * int(6.0 / _STEP_S)


def test_a_frozen_node_serves_again_soon():
    """Guards against a long series of refusals after a single late timer."""
    admission = processor.ProcessorAdmission()
    admission.rescale(_SCALE)
    admission.record_lag(30.0, 0.0)
    for number in range(1, 80):
        admission.record_call(0)
        admission.record_lag(0.0, number * _STEP_S)
    assert admission.level == _SCALE.open_level


class _Runtime:
    """The parts of a node that the measurement of the lag uses."""

    def __init__(self):
        self.clock = clocks.TrioClock()
        self.drain = drains.make_drain()
        self.processor = self
        self.measured = 0

    def record_lag(self, lag_s, now):
        del lag_s, now
        self.measured += 1


async def test_a_node_without_work_is_rarely_woken():
    """Guards against timers that take a share of each of many idle nodes."""
    runtime = _Runtime()
    with trio.move_on_after(10.0):
        await processor_lag.run(runtime)
    assert runtime.measured <= 40
    runtime.drain.enter()
    runtime.measured = 0
    with trio.move_on_after(10.0):
        await processor_lag.run(runtime)
    assert runtime.measured >= 190
