"""Bounds and lifetime of idempotency records, and the choice of homes."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.idempotency import homes
from sassafras_policy.idempotency import records
from sassafras_policy.membership import roster as rosters

KeyDecision = records.KeyDecision


def _response(size=10):
    return messages.CallResponse(outcomes.Outcome.RAN, body=b"x" * size)


def test_a_full_table_refuses_and_evicts_nothing():
    """Guards against a repeat that runs as its record was evicted."""
    table = records.RecordTable(maximum_records=2)
    assert table.begin("a", b"1", 0.0) is KeyDecision.RUN
    table.finish("a", _response(), 1.0)
    assert table.begin("b", b"1", 2.0) is KeyDecision.RUN
    assert table.begin("c", b"1", 3.0) is KeyDecision.FULL
    assert table.begin("a", b"1", 900.9) is KeyDecision.STORED
    assert table.begin("b", b"1", 900.9) is KeyDecision.WAIT
    # A record expires 900 s after the end of its request.
    assert table.begin("c", b"1", 901.0) is KeyDecision.RUN


def test_a_running_request_never_expires():
    """Guards against a second execution during a very long first one."""
    table = records.RecordTable()
    assert table.begin("a", b"1", 0.0) is KeyDecision.RUN
    assert table.begin("a", b"1", 1e6) is KeyDecision.WAIT
    assert table.begin("a", b"2", 1e6) is KeyDecision.MISMATCH


def test_responses_are_bounded_and_the_record_outlives_its_response():
    """Guards against responses that exhaust memory or evict a record."""
    table = records.RecordTable(maximum_response_bytes=100)
    for key, size in (("a", 90), ("b", 50)):
        assert table.begin(key, b"1", 0.0) is KeyDecision.RUN
        table.finish(key, _response(size), 0.0)
    assert table.response_bytes == 90
    assert table.lookup("a", 0.0).kept
    assert not table.lookup("b", 0.0).kept
    assert table.begin("b", b"1", 0.0) is KeyDecision.STORED
    table.begin("c", b"1", 0.0)
    table.finish("c", _response(10), 0.0)
    assert table.begin("d", b"1", 0.0) is KeyDecision.FULL
    assert table.begin("d", b"1", 900.0) is KeyDecision.RUN
    assert table.response_bytes == 0


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["begin", "finish", "abandon"]),
            strategies.integers(0, 5),
            strategies.floats(0, 400),
        ),
        max_size=60,
    )
)
def test_a_key_runs_once_within_its_lifetime(steps):
    """Guards against orders of events that run a key twice."""
    table = records.RecordTable(maximum_records=3, maximum_response_bytes=40)
    now = 0.0
    running, ended = set(), {}
    for action, number, gap_s in steps:
        now += gap_s
        key = str(number)
        if action == "begin":
            decision = table.begin(key, b"1", now)
            if decision is KeyDecision.RUN:
                assert key not in running
                assert now >= ended.get(key, -1e9) + records.LIFETIME_S
                running.add(key)
            elif decision is KeyDecision.WAIT:
                assert key in running
        elif key in running:
            running.discard(key)
            if action == "finish":
                table.finish(key, _response(number * 5), now)
                ended[key] = now
            else:
                table.abandon(key)
        assert len(table) <= 3
        assert table.response_bytes <= 40


def _roster(epoch, *names, earlier=()):
    return rosters.Roster(
        epoch,
        tuple(rosters.Member(name, "entry", 1) for name in names),
        earlier=earlier,
    )


def test_a_new_member_gets_earlier_homes_from_the_roster():
    """Guards against a new node that runs keys again after their home left."""
    late = homes.Homes("d", 1, 0.0)
    late.adopt(_roster(2, "a", "b", "d", earlier=(("a", "b", "gone"),)), 0.0)
    moved_scopes = [
        scope
        for scope in map(str, range(200))
        if late.home_of("entry", scope) == "d"
    ]
    assert moved_scopes
    for scope in moved_scopes:
        (earlier,) = late.earlier_homes("entry", scope, 10.0)
        assert earlier in ("a", "b", "gone")
        assert not late.earlier_homes(
            "entry", scope, homes.RECORD_LOSS_WINDOW_S + 1
        )


def test_homes_stay_where_they_are_when_others_join():
    """Guards against a new epoch that moves keys between old members."""
    node = homes.Homes("a", 1, 0.0)
    node.adopt(_roster(1, "a", "b"), 0.0)
    before = {str(n): node.home_of("entry", str(n)) for n in range(100)}
    node.adopt(_roster(2, "a", "b", "c"), 5.0)
    for scope, home in before.items():
        assert node.home_of("entry", scope) in (home, "c")
    assert node.home_of("other", "1") is None


@pytest.mark.parametrize(
    ("joined", "own", "has_lost"), [(5, 5, False), (5, 6, True), (0, 6, True)]
)
def test_a_later_incarnation_has_lost_records(joined, own, has_lost):
    """Guards against a restarted node that acts as a new member."""
    node = homes.Homes("a", own, 100.0)
    node.adopt(
        rosters.Roster(1, (rosters.Member("a", "entry", joined),)), 100.0
    )
    assert node.may_have_lost_records(200.0) is has_lost
    assert not node.may_have_lost_records(100.0 + homes.RECORD_LOSS_WINDOW_S)


def test_scopes_keep_their_parts_apart():
    """Guards against keys of two organisations with the same scope."""
    assert homes.scope_of("a", "b", "cd") != homes.scope_of("a", "bc", "d")
    assert homes.scope_of("a", "r", "k") != homes.scope_of("b", "r", "k")
