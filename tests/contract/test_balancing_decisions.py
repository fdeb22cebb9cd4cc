"""Balancing decisions, ejection and slow start of targets."""

import collections
import random

import pytest

from sassafras_policy.balancing import balancers
from sassafras_policy.balancing import health


def _candidate(name, **changes):
    fields = {
        "node_id": name,
        "same_zone": True,
        "in_flight": 0,
        "load": 0.0,
        "capacity": 10.0,
    }
    return balancers.Candidate(**{**fields, **changes})


def _shares(candidates, calls=2000):
    balancer = balancers.PowerOfTwo(random.Random(11))
    chosen = collections.Counter(
        balancer.choose(candidates).node_id for _ in range(calls)
    )
    return {c.node_id: chosen[c.node_id] / calls for c in candidates}


@pytest.mark.parametrize(
    ("worse", "highest"),
    [
        ({"in_flight": 5}, 0.2),
        ({"load": 0.9}, 0.2),
        ({"errors": 8.0}, 0.2),
        ({"capacity": 1.0}, 0.2),
        ({"ejected": True}, 0.0),
    ],
)
def test_a_worse_target_gets_fewer_calls(worse, highest):
    """Guards against preference for slow, failing or starting targets."""
    shares = _shares(
        [_candidate("a"), _candidate("b"), _candidate("c", **worse)]
    )
    assert shares["c"] <= highest


@pytest.mark.parametrize(("targets", "kept"), [(1, 1), (2, 1), (3, 2), (4, 2)])
def test_at_most_half_of_the_targets_are_left_out(targets, kept):
    """Guards against a service without targets after a common fault."""
    candidates = [
        _candidate(f"t{number}", ejected=True, errors=float(number))
        for number in range(targets)
    ]
    usable = balancers.without_ejected(candidates)
    assert [c.node_id for c in usable] == [f"t{n}" for n in range(kept)]


def test_the_same_zone_is_preferred_only_while_it_has_room():
    """Guards against needless cross-zone calls and overloaded zones."""
    near = _candidate("near")
    far = _candidate("far", same_zone=False)
    assert _shares([near, far])["near"] == 1.0
    full = _candidate("near", load=1.0, in_flight=10)
    assert _shares([full, far])["far"] == 1.0


def test_ejections_double_up_to_a_maximum_and_start_again():
    """Guards against permanent ejections and against flapping."""
    target = health.TargetHealth()
    target.set_identity("target", 0.0)
    now = 0.0
    spans = []
    for _ in range(6):
        for number in range(5):
            assert target.record_failure(now) == (number == 4)
        spans.append(target.ejection_s)
        assert target.is_ejected(now + target.ejection_s - 0.1)
        now += target.ejection_s
        assert not target.is_ejected(now)
    assert spans == [5.0, 10.0, 20.0, 40.0, 60.0, 60.0]
    target.record_success(0.0, now + 61.0)
    assert target.record_failure(now + 61.0, at_once=True)
    assert target.ejection_s == 5.0


def test_a_success_between_failures_prevents_an_ejection():
    """Guards against ejection of a target that fails occasionally."""
    target = health.TargetHealth()
    for number in range(50):
        assert not target.record_failure(float(number))
        if number % 4 == 3:
            target.record_success(0.0, float(number))


def test_errors_count_like_calls_in_flight_and_fade():
    """Guards against a fast-failing target that looks idle."""
    target = health.TargetHealth()
    for _ in range(4):
        target.record_failure(0.0)
    assert target.errors(0.0) == 4.0
    assert target.errors(1.0) == pytest.approx(4.0 / 2.718, rel=0.01)


def test_an_old_load_report_fades():
    """Guards against a target that is never chosen after one full report."""
    target = health.TargetHealth()
    target.record_load(1.0, 0.0)
    assert target.load(0.0) == 1.0
    assert target.load(3.0) < 0.1


@pytest.mark.parametrize(
    ("cold_start_s", "age_s", "expected"),
    [(0.0, 0.0, 0.1), (0.0, 2.0, 1.0), (10.0, 5.0, 0.5), (10.0, 20.0, 1.0)],
)
def test_slow_start_of_a_new_target(cold_start_s, age_s, expected):
    """Guards against full load on a cold target."""
    target = health.TargetHealth()
    target.set_identity("first", 0.0)
    target.set_identity("second", 100.0)
    assert target.capacity_share(cold_start_s, 100.0 + age_s) == pytest.approx(
        expected
    )


def test_a_target_starts_slowly_again_after_an_ejection():
    """Guards against full load on a target right after its ejection."""
    target = health.TargetHealth()
    target.set_identity("target", 0.0)
    assert target.capacity_share(0.0, 50.0) == 1.0
    target.record_failure(50.0, at_once=True)
    assert target.capacity_share(0.0, 55.0) == pytest.approx(0.1)
