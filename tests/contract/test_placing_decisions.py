"""Load reports, service times and the pace of targets."""

import random

import cbor2
import pytest

from sassafras_platform import front_end
from sassafras_policy.balancing import balancers
from sassafras_policy.balancing import expected_wait
from sassafras_policy.balancing import load_reports
from sassafras_policy.balancing import pace
from sassafras_policy.balancing import service_times
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.http import client
from sassafras_wire.mesh import call_messages
from sassafras_wire.peer import codec

_REPORT = load_reports.LoadReport


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("3,0,8", _REPORT(3, 0, 8)),
        ("3,1,8,130", _REPORT(3, 1, 8, 1.3)),
        (" 3 , 1 , 8 , 130 ", _REPORT(3, 1, 8, 1.3)),
        # A later version may add figures.
        ("3,1,8,130,7,x", _REPORT(3, 1, 8, 1.3)),
        ("", None),
        ("3,0", None),
        ("3,0,0", None),
        ("3,0,8,0", None),
        ("-3,0,8", None),
        ("3,0,8,-130", None),
        ("3,0,8,nan", None),
        ("3,0,8,1e9", None),
        ("3,0,99999999999999999999", None),
        ("\u0663,0,8", None),
        (None, None),
    ],
)
def test_load_reports_are_checked(value, expected):
    """Guards against figures of a target that no target can have."""
    headers = () if value is None else (("instance-load", value),)
    decoded = front_end.FrontEnd().read_target_response(
        client.Response(200, headers, b"")
    )
    assert decoded.load_report == expected


def test_reports_pass_between_versions():
    """Guards against nodes of two versions that cannot call each other."""
    report = load_reports.TargetReport(17, 0.25)
    response = messages.CallResponse(outcomes.Outcome.RAN, report=report)
    encoded = call_messages.encode_answer(response, False)
    later = cbor2.dumps({**cbor2.loads(encoded), "added_later": 1})
    assert call_messages.to_response(codec.decode(later, ""), "s") == response
    plain = messages.CallResponse(outcomes.Outcome.RAN)
    earlier = call_messages.encode_answer(plain, False)
    assert b"limit" not in earlier
    assert call_messages.to_response(codec.decode(earlier, ""), "s") == plain


def _expected_s(slowdown, stated, calls=400):
    """Returns the mean error of the expected time of the next call."""
    rng = random.Random(1)
    times = service_times.ServiceTimes()
    error_s = 0.0
    for number in range(calls):
        now = 0.01 * number
        latency_s = 0.1 * slowdown(now) * rng.uniform(0.9, 1.1)
        error_s += abs(times.expected_s("read") - 0.1 * slowdown(now))
        times.observe("read", latency_s, stated(now), now)
    return error_s / calls


def _slowdown(now):
    return 4.0 if int(now / 0.3) % 3 == 0 else 1.0


def _stated(slowdown):
    return lambda now: load_reports.LoadReport(1, 0, 8, slowdown(now))


def test_a_true_report_is_used():
    """Guards against figures that are decoded and then ignored."""
    unstated = _expected_s(_slowdown, lambda now: None)
    stated = _expected_s(_slowdown, _stated(_slowdown))
    assert stated < unstated / 2


@pytest.mark.parametrize(
    "stated",
    [
        lambda now: 1.0,
        lambda now: 12.0,
        lambda now: _slowdown(now - 0.3),
        lambda now: 4.0 if int(1e6 * now) % 7 < 2 else 1.0,
    ],
    ids=["usual", "slow", "late", "random"],
)
def test_a_report_that_predicts_nothing_is_not_used(stated):
    """Guards against a target that lies about its load."""
    unstated = _expected_s(_slowdown, lambda now: None)
    assert _expected_s(_slowdown, _stated(stated)) < 1.3 * unstated


def _round(paced, now, calls, succeeded=True, relative=1.0, own=1.0):
    """Ends calls that started after the last step; returns the limit."""
    for _ in range(calls):
        paced.observe(now, relative, own, succeeded, 1, now + 0.1)
    return paced.limit


def test_the_limit_doubles_with_each_round_of_good_answers():
    """Guards against a target that is left idle after its start."""
    paced = pace.Pace(64)
    paced.hold_back()
    limits = [paced.limit]
    for number in range(4):
        limits.append(_round(paced, float(number), min(16, limits[-1])))
    # The last slots are tried later.
    assert limits == [4, 8, 16, 32, 60]
    assert paced.is_open


def test_answers_of_an_earlier_step_do_not_count():
    """Guards against growth before its effect can be seen."""
    paced = pace.Pace(64)
    paced.hold_back()
    assert _round(paced, 1.0, 4) == 8
    for _ in range(100):
        paced.observe(0.9, 1.0, 1.0, True, 4, 2.0)
    assert paced.limit == 8


def test_a_target_that_never_answers_gets_probes_only():
    """Guards against calls for a target that fails all of them."""
    paced = pace.Pace(64)
    for number in range(10):
        _round(paced, float(number), 16, succeeded=False)
    assert paced.limit == 1
    assert not paced.is_open
    assert _round(paced, 20.0, 1) == 2


def test_a_step_that_makes_answers_worse_is_undone():
    """Guards against a cold target that is given more than it can do."""
    paced = pace.Pace(64)
    paced.hold_back()
    assert _round(paced, 0.0, 4) == 8
    assert _round(paced, 1.0, 8, relative=2.0, own=2.0) == 4
    # Slowness that remains is not due to the number of calls.
    assert _round(paced, 2.0, 4, relative=2.0, own=1.0) == 5


def test_a_target_that_is_slow_like_its_peers_is_not_held_back():
    """Guards against a service that starts slowly as a whole."""
    paced = pace.Pace(64)
    paced.hold_back()
    _round(paced, 0.0, 4)
    assert _round(paced, 1.0, 8, relative=1.0, own=3.0) == 16


def test_the_last_slots_are_left_free_where_they_slow_the_target_down():
    """Guards against a target that serves less at all of its slots."""
    paced = pace.Pace(100)
    for _ in range(256):
        assert paced.limit == 95
        paced.observe(0.0, 1.0, 1.0, True, 60, 0.0)
    assert paced.limit == 100
    for _ in range(32):
        paced.observe(1.0, 1.3, 1.0, True, 99, 1.0)
    assert paced.limit == 95
    # They are tried again later.
    for _ in range(5000):
        paced.observe(100.0, 1.0, 1.0, True, 60, 100.0)
    assert paced.limit == 100


def _candidate(node_id, **changes):
    fields = {"same_zone": True, "in_flight": 0, "load": 0.5, "capacity": 20.0}
    return balancers.Candidate(node_id, **{**fields, **changes})


@pytest.mark.parametrize(
    ("other", "chosen"),
    [
        # Less than a call is no reason to leave the proportions.
        ({"load": 0.48}, "first"),
        ({"load": 0.3}, "other"),
        ({"load": 0.0, "same_zone": False}, "first"),
        ({"load": 0.0, "excess_s": 0.5}, "first"),
        ({"load": 0.0, "rejected_share": 0.5}, "first"),
    ],
)
def test_the_first_of_a_sample_gets_the_call_unless_another_is_better(
    other, chosen
):
    """Guards against a herd on the target whose report is the lowest."""
    balancer = expected_wait.ExpectedWait(random.Random(1))
    candidates = [_candidate("first"), _candidate("other", **other)]
    assert balancer.choose(candidates).node_id == chosen


def test_full_targets_are_compared_by_their_waits():
    """Guards against equal queues at a slow and at a fast target."""
    balancer = expected_wait.ExpectedWait(random.Random(1))
    slow = _candidate("slow", load=1.5, service_s=0.4)
    fast = _candidate("fast", load=1.8, service_s=0.1)
    far = _candidate("far", load=1.6, service_s=0.1, same_zone=False)
    assert balancer.choose([slow, fast]).node_id == "fast"
    assert balancer.choose([slow, fast, far]).node_id == "far"


def test_targets_are_sampled_by_their_abilities():
    """Guards against equal shares for targets of uneven speed."""
    balancer = expected_wait.ExpectedWait(random.Random(1))
    entries = ["slow", "usual", "fast"]
    firsts = [
        balancer.sample(entries, 2, lambda _: [1.0, 2.0, 3.0], 0.0)[0]
        for _ in range(6000)
    ]
    assert firsts.count("slow") / 6000 == pytest.approx(1 / 6, abs=0.03)
    assert firsts.count("fast") / 6000 == pytest.approx(1 / 2, abs=0.03)
