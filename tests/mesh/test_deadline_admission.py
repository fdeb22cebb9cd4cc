"""A target's admission that lets calls wait by their deadlines."""

import random

from sassafras_policy.admission import by_deadline
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages

SLOTS = 110
SCALE = priorities.scale_of_classes(3)


def _context(*, priority=1, bucket=0, deadline=1000.0, depth=1):
    return messages.CallContext(
        root_id="root",
        organisation="",
        priority=priority,
        bucket=bucket,
        deadline=deadline,
        depth=depth,
        at_most_once=False,
    )


def _throughput(policy, slowness_of, span_s=40.0):
    """Returns calls a second of a target that is always full.

    Args:
      policy: The admission policy.
      slowness_of: Returns by how much longer a call takes than usual, from the
        time and the calls that run.
      span_s: How long to run.
    """
    rng = random.Random(3)
    running = []
    ended = 0
    now = 0.0
    while now < span_s:
        while policy.decide(_context(depth=0, priority=2), now).admitted:
            work_s = rng.choice((0.063, 0.063, 0.1)) * rng.uniform(0.7, 1.3)
            work_s *= slowness_of(now, len(running))
            running.append((now + work_s, work_s))
        running.sort()
        now, latency_s = running.pop(0)
        policy.finished(latency_s, True, now)
        # Nothing waits, so that the limit alone decides.
        release = policy.release(now)
        while release.admitted:
            policy.release_unused()
            release = policy.release(now)
        ended += now > 5.0
    return ended / (span_s - 5.0)


def _compare_throughput(slowness_of):
    """Returns throughput before, after, and without any limit but the slots."""
    return [
        _throughput(policy(SLOTS, SCALE), slowness_of)
        for policy in (
            policies.Adaptive,
            by_deadline.ByDeadline,
            policies.Slots,
        )
    ]


def test_a_target_that_slows_down_near_its_end_is_kept_busy():
    """Guards against cuts of the limit that cost throughput."""
    before, after, best = _compare_throughput(
        lambda now, running: 1.2 if running > 0.9 * SLOTS else 1.0
    )
    assert after >= max(before, 0.98 * best), (before, after, best)


def test_changes_of_a_machines_speed_are_no_queue():
    """Guards against trials that follow each rise of the latency."""
    speeds = random.Random(9)
    slowness = [speeds.choice((1.0, 2.0)) for _ in range(200)]
    before, after, best = _compare_throughput(
        lambda now, running: slowness[int(now / 0.3) % 200]
    )
    assert after >= 1.01 * before, (before, after, best)


def test_calls_wait_as_long_as_they_can_be_served_in_time():
    """Guards against work that is lost to a wait of half the time left."""
    for policy, expected in (
        (policies.Adaptive(1, SCALE), False),
        (by_deadline.ByDeadline(1, SCALE), True),
    ):
        assert policy.decide(_context(), 0.0).admitted
        policy.finished(0.1, True, 0.1)
        assert policy.decide(_context(), 1.0).admitted
        decision = policy.decide(_context(deadline=2.0), 1.0)
        assert (decision.ticket.wait_s(1.0) > 0.6) is expected


def test_a_call_that_cannot_be_served_in_time_does_not_wait():
    """Guards against slots that are used for responses nobody waits for."""
    policy = by_deadline.ByDeadline(1, SCALE)
    assert policy.decide(_context(), 0.0).admitted
    policy.finished(0.1, True, 0.1)
    assert policy.decide(_context(), 1.0).admitted
    decision = policy.decide(_context(deadline=1.09), 1.0)
    assert decision.ticket.wait_s(1.0) == 0.0


def test_calls_of_admitted_requests_wait_by_age_not_by_class():
    """Guards against a class whose requests all fail at their last call."""
    policy = by_deadline.ByDeadline(2, SCALE)
    for _ in range(2):
        assert policy.decide(_context(), 0.0).admitted
    least = policy.decide(_context(priority=2, deadline=1.0), 0.0)
    other = policy.decide(_context(priority=1, deadline=2.0), 0.0)
    first = policy.decide(_context(priority=0, depth=0, deadline=9.0), 0.0)
    root = policy.decide(_context(priority=1, depth=0, deadline=0.9), 0.0)
    order = []
    for _ in range(4):
        policy.release_unused()
        order += policy.release(0.2).admitted
    assert order == [d.ticket for d in (first, least, other, root)]


def test_the_level_does_not_refuse_the_call_that_is_next():
    """Guards against important requests refused for the waits of others.

    With a queue of calls of the least important class, the level falls below
    every rank, and the most important requests were refused beside it.
    """
    for policy, expected in (
        (policies.Adaptive(1, SCALE), False),
        (by_deadline.ByDeadline(1, SCALE), True),
    ):
        now = 0.0
        assert policy.decide(_context(), now).admitted
        for _ in range(200):
            now += 0.05
            decision = policy.decide(_context(priority=2), now)
            if decision.ticket is not None:
                policy.abandon(decision.ticket, now + 0.1)
        policy.decide(_context(priority=2), now)
        # The last bucket of its class, which any level below the open one of
        # that class refuses.
        important = _context(priority=0, bucket=127, depth=0)
        decision = policy.decide(important, now)
        assert (decision.ticket is not None) is expected
