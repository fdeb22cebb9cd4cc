"""Admission policies, their limits, queues and levels, on a simulated clock."""

import random

import pytest

from sassafras_policy.admission import concurrency
from sassafras_policy.admission import levels
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages

SCALE = priorities.scale_of_classes(3)
OPEN = SCALE.open_level


def _context(priority=2, bucket=0, deadline=1000.0, depth=0):
    return messages.CallContext(
        root_id="root",
        organisation="bank",
        priority=priority,
        bucket=bucket,
        deadline=deadline,
        depth=depth,
        at_most_once=False,
    )


def _drive_limit(limit, latency_of, seconds, start=0.0, max_running=10_000):
    """Keeps a target busy up to its limit; returns the time at the end."""
    now = start
    while now < start + seconds:
        running = min(limit.value, max_running)
        latency_s = latency_of(running)
        # One call ends each `latency / running` seconds.
        now += latency_s / running
        limit.observe(latency_s, True, running, now)
    return now


@pytest.mark.parametrize(
    ("announced", "real", "lowest", "highest"),
    [
        # The lowest values occur during a trial, an eighth below the limit.
        (8, 8, 7, 8),
        (100, 100, 87, 100),
        (40, 10, 8, 16),
        (1, 1, 1, 1),
    ],
)
def test_the_limit_finds_the_real_slots(announced, real, lowest, highest):
    """Guards against a limit that relies on announced slots, or is too low."""
    limit = concurrency.ConcurrencyLimit(announced)
    seen = []
    now = 0.0
    for _ in range(200):
        now = _drive_limit(
            limit, lambda running: 0.1 * max(1.0, running / real), 0.1, now
        )
        seen.append(limit.value)
    assert lowest <= min(seen[100:])
    assert max(seen[100:]) <= highest
    assert sum(seen[100:]) / len(seen[100:]) >= 0.97 * min(announced, real)


def test_a_target_that_is_slower_by_itself_keeps_its_limit():
    """Guards against a decrease of the limit that does not reduce latency."""
    limit = concurrency.ConcurrencyLimit(8)
    now = _drive_limit(limit, lambda running: 0.1, 5.0)
    assert limit.value == 8
    _drive_limit(limit, lambda running: 0.2, 5.0, now)
    assert limit.value == 8


def test_random_service_times_leave_most_of_the_limit():
    """Guards against a limit that falls because of random variation."""
    rng = random.Random(3)
    limit = concurrency.ConcurrencyLimit(20)
    now = 0.0
    seen = []
    for _ in range(300):
        now = _drive_limit(
            limit, lambda running: 0.1 * rng.expovariate(1.0), 0.1, now
        )
        seen.append(limit.value)
    assert sum(seen[50:]) / len(seen[50:]) >= 16


def test_slow_failures_lower_the_limit_and_responses_raise_it():
    """Guards against a target that hangs and keeps its full limit."""
    limit = concurrency.ConcurrencyLimit(16)
    now = _drive_limit(limit, lambda running: 0.1, 5.0)
    for _ in range(200):
        now += 0.1
        limit.observe(1.0, False, limit.value, now)
    assert limit.value == 1
    _drive_limit(limit, lambda running: 0.1, 5.0, now)
    assert limit.value == 16


def test_quick_errors_do_not_change_the_limit():
    """Guards against quick errors that look like low latency."""
    limit = concurrency.ConcurrencyLimit(8)
    now = _drive_limit(limit, lambda running: 0.1, 5.0)
    for _ in range(100):
        now += 0.01
        limit.observe(0.001, False, 8, now)
    assert limit.value == 8
    assert limit.baseline_s == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("arrivals", "expected"),
    [
        # (priority, deadline) in order of arrival; order of dequeue.
        ([(2, 9.0), (0, 9.0), (1, 9.0)], [1, 2, 0]),
        ([(1, 9.0), (1, 5.0), (1, 7.0)], [1, 2, 0]),
        ([(1, 5.0), (1, 5.0), (1, 5.0)], [0, 1, 2]),
    ],
)
def test_the_queue_is_ordered_by_class_then_deadline(arrivals, expected):
    """Guards against important calls queued behind others (G2)."""
    queue = queueing.WaitingQueue()
    tickets = [queue.push(p, d, 10, 0.0)[0] for p, d in arrivals]
    assert [tickets.index(queue.pop()) for _ in arrivals] == expected


def test_within_a_class_the_bucket_precedes_the_deadline():
    """Guards against an overload in which every root request fails.

    Each root request makes several calls in sequence. In the order of deadlines
    alone, all of them waited at each call and missed the deadline at the last.
    """
    policy = policies.Adaptive(1, SCALE)
    assert policy.decide(_context(), 0.0).admitted
    old = policy.decide(_context(bucket=90, depth=1, deadline=3.0), 0.0).ticket
    new = policy.decide(_context(bucket=10, depth=1, deadline=9.0), 0.0).ticket
    policy.finished(0.1, True, 0.1)
    assert policy.release(0.1).admitted == (new,)
    policy.finished(0.1, True, 0.2)
    assert policy.release(0.2).admitted == (old,)


def test_a_full_queue_drops_its_least_important_call():
    """Guards against at-most-once calls refused before status checks (G2)."""
    queue = queueing.WaitingQueue()
    first, _ = queue.push(2, 9.0, 1, 0.0)
    second, _ = queue.push(2, 8.0, 1, 0.0)
    ticket, displaced = queue.push(0, 9.0, 1, 0.0)
    assert displaced == first
    assert queue.push(2, 9.5, 1, 0.0) == (None, None)
    assert [queue.pop(), queue.pop(), queue.pop()] == [ticket, second, None]


def test_a_late_call_is_dropped_at_dequeue():
    """Guards against executing a call after its caller's deadline."""
    policy = policies.Adaptive(1, SCALE)
    assert policy.decide(_context(), 0.0).admitted
    late = policy.decide(_context(deadline=0.05), 0.0).ticket
    in_time = policy.decide(_context(deadline=5.0), 0.0).ticket
    policy.finished(0.06, True, 0.06)
    release = policy.release(0.06)
    assert release.late == (late,)
    assert release.admitted == (in_time,)


def test_a_wait_ends_with_the_deadline_or_after_the_maximum_wait():
    """Guards against calls that wait longer than their callers."""
    ticket = queueing.Ticket(0, 0, 0.03, 1, 0.0)
    assert ticket.wait_s(0.01) == pytest.approx(0.02)
    ticket = queueing.Ticket(0, 0, 9.0, 1, 0.0)
    assert ticket.wait_s(0.0) == queueing.DEFAULT_MAX_WAIT_S
    assert ticket.wait_s(9.0) == 0.0


def test_important_calls_may_wait_for_a_slow_target():
    """Guards against at-most-once calls refused by a slow service (G2)."""
    policy = policies.Adaptive(1, SCALE)
    now = 0.0
    for _ in range(20):
        assert policy.decide(_context(), now).admitted
        now += 0.4
        policy.finished(0.4, True, now)
    policy.decide(_context(), now)
    status = policy.decide(_context(priority=2), now).ticket
    lodgement = policy.decide(_context(priority=1), now).ticket
    assert status.wait_s(now) == pytest.approx(queueing.DEFAULT_MAX_WAIT_S)
    assert lodgement.wait_s(now) == pytest.approx(0.8)


def test_paused_calls_do_not_count_towards_the_limit():
    """Guards against a slow service that blocks the targets upstream of it."""
    policy = policies.Adaptive(4, SCALE)
    now = 0.0
    started = 0
    while policy.decide(_context(), now).admitted:
        started += 1
        policy.paused()
    assert started == 4, "paused calls still take one of the announced slots"


def _overload(controller, now, windows, rng):
    """Simulates windows in which calls of all classes are dropped."""
    for _ in range(windows):
        for _ in range(20):
            controller.record_arrival(rng.randrange(OPEN), now)
            controller.record_drop(queueing.DEFAULT_MAX_WAIT_S)
        controller.record_saturation()
        now += 0.11
        controller.value(now)
    return now


def test_the_level_sheds_the_least_important_class_first():
    """Guards against at-most-once calls shed before status checks (G2)."""
    controller = levels.LevelController(SCALE)
    rng = random.Random(7)
    for number in range(20):
        controller.record_arrival(rng.randrange(OPEN), 0.0)
        if number % 2:
            controller.record_drop(queueing.DEFAULT_MAX_WAIT_S)
        else:
            controller.record_wait(0.06)
    controller.record_saturation()
    level = controller.value(0.11)
    assert 2 * messages.BUCKET_COUNT <= level < OPEN
    assert not levels.refuses(level, _context(priority=0, bucket=127))
    assert not levels.refuses(level, _context(priority=1, bucket=127))
    assert levels.refuses(level, _context(priority=2, bucket=127))


def test_the_level_skips_classes_without_calls():
    """Guards against a level that sheds late because of unused ranks."""
    controller = levels.LevelController(SCALE)
    now = 0.0
    rng = random.Random(7)
    for _ in range(3):
        for _ in range(20):
            controller.record_arrival(rng.randrange(messages.BUCKET_COUNT), now)
            controller.record_drop(queueing.DEFAULT_MAX_WAIT_S)
        now += 0.11
    assert controller.value(now) < messages.BUCKET_COUNT


@pytest.mark.parametrize("windows", [3, 50])
def test_the_level_opens_while_no_calls_arrive(windows):
    """Guards against a level that stays tight when no calls arrive."""
    controller = levels.LevelController(SCALE)
    now = _overload(controller, 0.0, windows, random.Random(7))
    assert not controller.is_open
    assert controller.value(now + 5.0) == OPEN


def test_the_level_opens_under_steady_calls_after_a_surge():
    """Guards against a level that stays tight while there are free slots."""
    controller = levels.LevelController(SCALE)
    now = _overload(controller, 0.0, 50, random.Random(7))
    end = now + 5.0
    while now < end:
        now += 0.05
        controller.record_arrival(300, now)
        controller.record_wait(0.0)
    assert controller.value(now) == OPEN


def test_the_level_always_admits_some_calls():
    """Guards against a service whose recovery can never be observed."""
    controller = levels.LevelController(SCALE)
    now = _overload(controller, 0.0, 500, random.Random(7))
    level = controller.value(now)
    assert not levels.refuses(level, _context(priority=0, bucket=0))


def test_the_level_refuses_no_call_while_a_slot_is_free():
    """Guards against an idle target while its level is still tight."""
    policy = policies.Adaptive(4, SCALE)
    while policy.decide(_context(), 0.0).admitted:
        pass
    now = 0.0
    for _ in range(30):
        for bucket in range(20):
            policy.decide(_context(bucket=bucket), now)
        now += 0.11
    assert policy.level(now) < 2 * messages.BUCKET_COUNT + 20
    assert not policy.decide(_context(bucket=127), now).ticket
    policy.release_unused()
    policy.release(now)
    while len(policy.release(now).admitted):
        policy.release_unused()
    for _ in range(4):
        policy.release_unused()
        policy.release(now)
    assert policy.decide(_context(bucket=127), now).admitted


def test_recorded_levels_refuse_upstream_and_open_over_time():
    """Guards against refusals by an outdated level."""
    tracker = levels.ServiceLevels()
    reached = frozenset(["desk", "ledger"])
    status = _context(priority=2, bucket=64)
    assert tracker.refusing_service(reached, status, SCALE, 0.0) is None
    tracker.update("ledger", 2 * messages.BUCKET_COUNT + 10, SCALE, 0.0)
    assert tracker.refusing_service(reached, status, SCALE, 0.1) == (
        "ledger",
        266,
    )
    assert (
        tracker.refusing_service(frozenset(["desk"]), status, SCALE, 0.1)
        is None
    )
    assert tracker.refusing_service(reached, status, SCALE, 5.0) is None


def test_a_small_change_of_the_level_does_not_stop_an_admitted_request():
    """Guards against sub-calls refused after work upstream was done."""
    level = 2 * messages.BUCKET_COUNT + 64
    assert levels.refuses(level, _context(bucket=66, depth=0))
    assert not levels.refuses(level, _context(bucket=66, depth=1))
    assert levels.refuses(level, _context(bucket=73, depth=1))


def test_the_level_of_a_service_is_the_mean_of_its_targets():
    """Guards against one slow target that causes refusals for its service."""
    tracker = levels.ServiceLevels()
    now = 0.0
    for _ in range(100):
        now += 0.01
        tracker.update("ledger", OPEN, SCALE, now)
        now += 0.01
        tracker.update("ledger", 256, SCALE, now)
    assert 300 < tracker.value("ledger", SCALE, now) < 340


@pytest.mark.parametrize(
    ("name", "admitted"), [("slots", 4), ("unlimited", 50), ("adaptive", 2)]
)
def test_policies_by_name(name, admitted):
    """Guards against baselines that decide like the default policy."""
    policy = policies.admission_policies.get(name)(4, SCALE)
    results = [policy.decide(_context(), 0.0).admitted for _ in range(50)]
    assert sum(results) == admitted
    assert policy.level(0.0) == OPEN


def test_a_sub_call_may_wait_while_there_is_time_to_serve_it():
    """Guards against root requests that fail because of a short queue."""
    policy = policies.Adaptive(2, priorities.PriorityScale())
    for _ in range(policy.limit):
        assert policy.decide(_context(depth=1), 0.0).admitted
    sub_call = policy.decide(_context(priority=0, depth=1, deadline=0.8), 0.0)
    assert sub_call.ticket is not None
    assert sub_call.ticket.wait_s(0.0) == 0.4
    root = policy.decide(_context(priority=0, depth=0, deadline=0.8), 0.0)
    assert root.ticket is not None
    assert root.ticket.wait_s(0.0) == queueing.DEFAULT_MAX_WAIT_S
