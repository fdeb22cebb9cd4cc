"""Classification of failures, retry policies, guard and back-off."""

import random

import pytest

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.retries import backoff
from sassafras_policy.retries import failures
from sassafras_policy.retries import guard
from sassafras_policy.retries import policies
from sassafras_policy.retries import repeats

Failure = failures.Failure
Reason = outcomes.Reason


@pytest.mark.parametrize(
    ("response", "at_most_once", "expected"),
    [
        (messages.CallResponse(outcomes.Outcome.RAN), False, Failure.FINAL),
        (
            messages.CallResponse(outcomes.Outcome.RAN, status=500),
            False,
            Failure.FINAL,
        ),
        (
            messages.refusal(Reason.OVERLOAD, 503, ""),
            True,
            Failure.OVERLOADED,
        ),
        (
            messages.refusal(Reason.UNREACHABLE, 503, "", retryable=True),
            True,
            Failure.NOT_REACHED,
        ),
        (
            messages.refusal(Reason.LEAVING, 503, "", retryable=True),
            False,
            Failure.NOT_REACHED,
        ),
        (messages.refusal(Reason.DEADLINE, 504, ""), False, Failure.FINAL),
        (
            messages.refusal(Reason.RETRIES_EXHAUSTED, 503, ""),
            False,
            Failure.FINAL,
        ),
        (
            messages.unknown(Reason.CONNECTION_LOST, 502, "", retryable=True),
            False,
            Failure.MAY_HAVE_RUN,
        ),
        (
            messages.unknown(Reason.CONNECTION_LOST, 502, "", retryable=True),
            True,
            Failure.FINAL,
        ),
        (messages.unknown(Reason.DEADLINE, 504, ""), False, Failure.FINAL),
    ],
)
def test_classification(response, at_most_once, expected):
    """Guards against retries of calls that may have run or cannot succeed."""
    assert failures.classify(response, at_most_once) is expected


@pytest.mark.parametrize(
    ("name", "attempt", "expected"),
    [
        ("budgeted", policies.Attempt(Failure.OVERLOADED, 0, 1, True), True),
        ("budgeted", policies.Attempt(Failure.OVERLOADED, 1, 2, True), False),
        ("budgeted", policies.Attempt(Failure.OVERLOADED, 0, 1, False), False),
        ("budgeted", policies.Attempt(Failure.NOT_REACHED), True),
        ("budgeted", policies.Attempt(Failure.REPEATED), True),
        ("never", policies.Attempt(Failure.NOT_REACHED), False),
        ("never", policies.Attempt(Failure.REPEATED), False),
        ("always", policies.Attempt(Failure.OVERLOADED, 2, 3, False), True),
        ("always", policies.Attempt(Failure.OVERLOADED, 3, 4, False), False),
        ("always", policies.Attempt(Failure.REPEATED, 9), True),
    ],
)
def test_policies(name, attempt, expected):
    """Guards against a second retry after overload, and wrong baselines."""
    policy = policies.retry_policies.get(name)()
    assert policy.may_retry(attempt) is expected


def test_the_guard_allows_a_few_retries_on_a_quiet_node_and_a_tenth_else():
    """Guards against a quiet node that can never retry."""
    node_guard = guard.RetryGuard()
    assert sum(node_guard.take(5.0) for _ in range(50)) == 10
    for _ in range(400):
        node_guard.count_first_attempt(5.5)
    assert sum(node_guard.take(6.0) for _ in range(100)) == 30
    node_guard.refund(6.0)
    assert node_guard.take(6.0)
    assert not node_guard.take(14.9)
    # The window has passed, so the first attempts no longer count.
    assert sum(node_guard.take(30.0) for _ in range(50)) == 10


def test_the_guard_leaves_later_stages_what_they_ask_for():
    """Guards against retries of first calls that fail nearly done requests."""
    node_guard = guard.RetryGuard()
    for _ in range(4):
        assert node_guard.take(5.0, stage=0)
    for _ in range(6):
        assert node_guard.take(5.0, stage=3)
    assert not node_guard.take(5.0, stage=3)
    # A second later, the window still holds all that was taken.
    assert not node_guard.take(6.0, stage=0)
    # Nothing is left for stage 0 where stage 1 asks for all of it.
    for _ in range(12):
        node_guard.take(30.0, stage=1)
    assert not node_guard.take(31.0, stage=0)
    assert node_guard.take(40.0, stage=0)


def test_backoff_doubles_with_jitter_and_is_repeatable():
    """Guards against waits that differ between runs with one seed."""
    waits = [backoff.Backoff(random.Random(7)).wait_s(n) for n in range(12)]
    again = [backoff.Backoff(random.Random(7)).wait_s(n) for n in range(12)]
    assert waits == again
    assert all(0.01 <= wait_s <= 0.5 for wait_s in waits)
    assert waits[3] > waits[0]


def test_repeats_are_counted_only_after_a_failure():
    """Guards against refusals of targets that call the same path twice."""
    tracker = repeats.RepeatTracker()
    first = repeats.fingerprint("GET", "/accounts/1", b"")
    other_body = repeats.fingerprint("GET", "/accounts/1", b"x")
    assert not tracker.is_repeat(first)
    tracker.succeeded(first)
    assert not tracker.is_repeat(first)
    tracker.failed(first)
    assert tracker.is_repeat(first)
    assert not tracker.is_repeat(other_body)
    tracker.succeeded(first)
    assert not tracker.is_repeat(first)


def test_identity_of_a_sub_call_keeps_its_parts_apart():
    """Guards against different sub-calls with the same digest."""
    assert repeats.fingerprint("GET", "/a", b"b") != repeats.fingerprint(
        "GET", "/ab", b""
    )


def test_too_many_failed_sub_calls_count_as_repeats():
    """Guards against a target that evades the limit with many paths."""
    tracker = repeats.RepeatTracker()
    for number in range(300):
        tracker.failed(repeats.fingerprint("GET", f"/accounts/{number}", b""))
    assert tracker.is_repeat(repeats.fingerprint("GET", "/accounts/new", b""))
