"""Levels between priorities with gaps, and between different versions."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafras_policy.admission import levels
from sassafras_policy.admission import priorities
from sassafras_policy.admission import processor
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages

_GAPS = (0, 1, 30_000)
_WINDOW_S = 0.11
_CALLS = 30

_priorities = strategies.lists(
    strategies.integers(0, 2**40), min_size=1, max_size=20
)


def _rank(priority, bucket=0):
    return priority * messages.BUCKET_COUNT + bucket


def _context(priority, bucket=0):
    return messages.CallContext("r", "", priority, bucket, 1e9, 0, False)


def _overload(controller, seconds, used=_GAPS, seed=1):
    """Drops a third of the calls of all priorities; returns the time."""
    rng = random.Random(seed)
    now = 0.0
    while now < seconds:
        now += _WINDOW_S
        for _ in range(_CALLS):
            rank = _rank(rng.choice(used), rng.randrange(128))
            controller.record_arrival(rank, now)
            controller.record_drop(queueing.DEFAULT_MAX_WAIT_S)
        controller.record_saturation()
    now += _WINDOW_S
    controller.value(now)
    return now


@hypothesis.given(_priorities, strategies.data())
@hypothesis.settings(derandomize=True, max_examples=200)
def test_a_level_has_one_position_and_a_position_one_level(used, data):
    """Guards against levels that change on their way through a node."""
    scale = priorities.scale_of(used)
    position = data.draw(strategies.integers(0, scale.size))
    assert scale.position(scale.level(position)) == position


@hypothesis.given(_priorities, _priorities, strategies.data())
@hypothesis.settings(derandomize=True, max_examples=200)
def test_positions_keep_the_order_of_ranks(used, others, data):
    """Guards against a less important call that is taken for a more important.

    Ranks may come from a node with another version of the configuration.
    """
    scale = priorities.scale_of(used)
    ranks = [
        _rank(data.draw(strategies.sampled_from(used + others)), bucket)
        for bucket in data.draw(
            strategies.lists(strategies.integers(0, 127), max_size=10)
        )
    ]
    found = [scale.position(rank) for rank in sorted(ranks)]
    assert found == sorted(found)


def test_a_node_without_the_newest_version_keeps_the_order():
    """Guards against ranks that mean something else at another node.

    One node has a version with priority 1, the other has not read it yet.
    """
    old, new = priorities.scale_of([0, 30_000]), priorities.scale_of(_GAPS)
    for level in (old.level(100), old.level(128), old.level(200)):
        refused = [
            [levels.refuses(level, _context(p, b)) for b in (0, 64, 127)]
            for p in _GAPS
        ]
        flat = [each for row in refused for each in row]
        assert flat == sorted(flat)
        assert new.level(new.position(level)) == level


@pytest.mark.parametrize("used", [_GAPS, tuple(range(0, 28_000, 70))])
def test_a_level_sheds_the_least_important_priority_first(used):
    """Guards against gaps that are shed in place of calls (Fault)."""
    scale = priorities.scale_of(used)
    controller = levels.LevelController(scale)
    _overload(controller, 1.0, used)
    level = controller.value(1.0)
    assert level < scale.open_level
    assert levels.refuses(level, _context(used[-1], 127))
    assert not levels.refuses(level, _context(used[0], 0))


@pytest.mark.parametrize("used", [_GAPS, tuple(range(0, 28_000, 70))])
def test_a_level_opens_soon_across_gaps(used):
    """Guards against a level that takes minutes for priorities not in use."""
    controller = levels.LevelController(priorities.scale_of(used))
    now = _overload(controller, 20.0, used)
    assert not controller.is_open
    controller.value(now + 5.0)
    assert controller.is_open


def test_a_level_stays_as_priorities_are_added():
    """Guards against an overloaded target whose level opens on a new version.

    It was created anew, and admitted every call, whenever a version had another
    largest priority.
    """
    controller = levels.LevelController(priorities.scale_of(_GAPS))
    now = _overload(controller, 1.0)
    level = controller.value(now)
    controller.rescale(priorities.scale_of([*_GAPS, 7, 40_000]))
    assert controller.value(now) == level
    controller.value(now + 10.0)
    assert controller.value(now + 10.0) == _rank(40_001)


def test_a_mean_level_is_taken_over_priorities_in_use():
    """Guards against one open target that hides the levels of all others."""
    scale = priorities.scale_of(_GAPS)
    tracker = levels.ServiceLevels()
    for number in range(100):
        now = number * 0.02
        tracker.update("ledger", scale.open_level, scale, now)
        tracker.update("ledger", _rank(1), scale, now + 0.01)
    level = tracker.value("ledger", scale, 2.0)
    assert levels.refuses(level, _context(30_000, 127))
    assert not levels.refuses(level, _context(0, 127))


def test_a_full_processor_sheds_the_least_important_priority_first():
    """Guards against gaps that are shed in place of calls (Fault)."""
    admission = processor.ProcessorAdmission()
    admission.rescale(priorities.scale_of(_GAPS))
    rng = random.Random(1)
    for number in range(1, 8):
        for _ in range(_CALLS):
            rank = _rank(rng.choice(_GAPS), rng.randrange(128))
            admission.record_call(rank)
        admission.record_lag(0.02 * number, number * 0.05)
    assert _rank(0) < admission.level <= _rank(30_000, 127)
    assert levels.refuses(admission.level, _context(30_000, 127))
