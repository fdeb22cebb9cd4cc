"""Requests that reach a scarce service three calls deep, on virtual time.

An eighth of a deployment: a trip lookup makes two calls, each of these one, and
each of those four at the scarce service. Every test compares the policies of
one seed with and without the admission of whole requests.
"""

import collections
import dataclasses
import functools
import random

import pytest
import trio
import trio.testing

from common import request_fleet
from sassafras_policy.admission import returns
from sassafras_policy.admission import service_room
from sassafras_policy.admission import shares
from sassafras_policy.admission import whole_requests
from sassafras_policy.calls import reports

BEFORE = ("levels", "adaptive")
AFTER = ("whole-requests", "deadline")
SEEDS = (1, 2)
SERVICES = {
    "desk": (42, (1.0,) * 5),
    "core": (40, (1.0,) * 4),
    "docs": (80, (1.0,) * 2),
    "view": (14, (0.7, 0.7, 1.0, 1.6)),
}
# Least part of a kind's requests, relative to all, that operators accept.
STARVED = 0.25


def _routes(load):
    """Returns the routes; at load 1.0 the scarce service is just full."""
    route = request_fleet.Route
    return {
        "lookup": route(
            "desk", 0.25, 5.0, ("seat", "seat"), load * 90, 1, aim_s=1.5
        ),
        "book": route("core", 0.33, 5.0, ("doc",), load * 29, 2, aim_s=4.0),
        "upload": route("docs", 0.3, 6.0, (), load * 8.5, 1, aim_s=1.5),
        "board": route("view", 0.1, 1.5, (), load * 22, 0, aim_s=0.4),
        "seat": route("core", 0.015, 2.5, ("doc",)),
        "doc": route("docs", 0.015, 2.0, ("roster",) * 4),
        "roster": route("view", 0.063, 0.7),
    }


@pytest.fixture(autouse=True)
def _fixed_order(monkeypatch):
    """Makes the order in which trio runs tasks depend on the seed alone."""
    monkeypatch.setattr(
        trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True
    )


async def _play(policies, seed, load, phases, organisations, disturb):
    fleet = request_fleet.Fleet(
        random.Random(seed), _routes(load), SERVICES, policies
    )
    async with trio.open_nursery() as nursery:
        if disturb is not None:
            nursery.start_soon(disturb, fleet)
        await fleet.load(phases, organisations)
    return fleet


def _compare(load, phases, organisations=("a",), disturb=None):
    """Returns how requests of all seeds ended, before and after."""
    found = []
    for policies in (BEFORE, AFTER):
        ends = collections.defaultdict(collections.Counter)
        by_organisation = collections.defaultdict(collections.Counter)
        for seed in SEEDS:
            trio._core._run._r.seed(seed)
            fleet = trio.run(
                functools.partial(
                    _play, policies, seed, load, phases, organisations, disturb
                ),
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
            for name, counts in fleet.ends.items():
                ends[name] += counts
            for name, counts in fleet.by_organisation.items():
                by_organisation[name] += counts
        found.append((ends, by_organisation))
    return found


def _served(counts):
    return (counts["in_time"] + counts["late"]) / counts.total()


def _total(ends):
    return sum(ends.values(), collections.Counter())


def _check_ranks(ends):
    """Checks that no kind starves, and that ranks hold at the scarce service.

    Operators accept that a kind is served less often by 5 in 100 than one of
    lower rank.
    """
    mean = _served(_total(ends))
    assert all(_served(ends[name]) >= STARVED * mean for name in ends), ends
    ranked = [_served(ends[name]) for name in ("board", "lookup", "book")]
    assert ranked[0] >= max(ranked) - 0.05, ends
    assert ranked[1] >= ranked[2] - 0.05, ends


@pytest.mark.parametrize("load", [1.2, 1.7])
def test_admitted_requests_are_completed(load):
    """Guards against work for requests whose later calls find no room."""
    (before, _), (after, _) = _compare(load, [({}, 10.0)])
    assert _total(after)["failed"] <= _total(before)["failed"] / 2, after
    assert _total(after)["in_time"] >= _total(before)["in_time"], after
    assert _served(after["book"]) >= _served(before["book"]), after
    _check_ranks(after)


def test_a_burst_of_one_class_is_refused_before_work_is_done_for_it():
    """Guards against a share that follows when all queues are full."""
    phases = [({}, 3.0), ({"lookup": 2.6}, 6.0), ({}, 3.0)]
    (before, _), (after, _) = _compare(0.75, phases)
    assert _total(after)["failed"] <= 0.75 * _total(before)["failed"], after
    assert _served(after["book"]) >= _served(before["book"]), after
    _check_ranks(after)


def test_nothing_is_refused_while_there_is_room():
    """Guards against room that is lost to chance or to a swinging share."""
    (before, _), (after, _) = _compare(0.75, [({}, 10.0)])
    assert _total(before)["in_time"] >= 0.99 * _total(before).total()
    assert _total(after)["in_time"] >= 0.99 * _total(after).total(), after


def test_a_burst_of_one_organisation_is_paid_for_by_itself():
    """Guards against callers refused for the requests of another customer."""
    usual = [f"usual-{number}" for number in range(9)]
    organisations = (*usual, *["large"] * 7)
    (_, before), (_, after) = _compare(
        1.5, [({}, 10.0)], organisations=organisations
    )
    served = [
        _served(sum((ends[name] for name in usual), collections.Counter()))
        for ends in (before, after)
    ]
    assert served[1] >= served[0] + 0.05, served
    assert _served(after["large"]) >= STARVED * served[1], after
    assert served[1] >= _served(after["large"]), after


async def _slow_down(fleet):
    """The scarce service loses four tenths of its speed for 9 s."""
    targets = fleet.services["view"]
    speeds = [target.speed for target in targets]
    await trio.sleep(3.0)
    for target, speed in zip(targets, speeds, strict=True):
        target.speed = 0.6 * speed
    await trio.sleep(9.0)
    for target, speed in zip(targets, speeds, strict=True):
        target.speed = speed


def test_a_slow_service_gets_fewer_requests_and_recovers():
    """Guards against failures while a service is slow, and after it was."""
    (before, _), (after, _) = _compare(0.9, [({}, 16.0)], disturb=_slow_down)
    assert _total(after)["failed"] <= _total(before)["failed"] / 2, after
    assert _total(after)["in_time"] >= 0.95 * _total(before)["in_time"], after
    _check_ranks(after)


def test_callers_that_return_together_find_room():
    """Guards against a second burst of those who were refused in the first."""
    kinds = ("lookup", "book", "upload", "board")
    phases = [({}, 3.0), (dict.fromkeys(kinds, 8.0), 0.5), ({}, 6.0)]
    (before, _), (after, _) = _compare(0.8, phases)
    assert _total(after)["failed"] <= 0.75 * _total(before)["failed"], after
    assert _total(after)["in_time"] >= _total(before)["in_time"], after
    _check_ranks(after)


async def _report_falsely(fleet):
    """One of the four targets claims to be idle all the time."""
    gate = fleet.services["view"][0].gate
    gate._policy.room = lambda now: reports.Room(0.0, 0.0, 0.0)


def test_a_false_report_counts_with_its_part():
    """Guards against a service that is flooded on the word of one node."""
    (before, _), (after, _) = _compare(
        1.2, [({}, 10.0)], disturb=_report_falsely
    )
    assert _total(after)["failed"] <= 0.75 * _total(before)["failed"], after
    assert _total(after)["in_time"] >= _total(before)["in_time"], after
    _check_ranks(after)


async def _report_nothing(fleet):
    """The targets of the scarce service are of an earlier version."""
    for target in fleet.services["view"]:
        target.gate._policy.room = lambda now: None


def test_without_reports_the_level_decides():
    """Guards against a fleet of two versions that refuses nothing."""
    (before, _), (after, _) = _compare(
        1.2, [({}, 10.0)], disturb=_report_nothing
    )
    assert _total(after)["in_time"] >= 0.9 * _total(before)["in_time"], after


def _report(demand):
    return reports.ServiceReport(
        "view", 4, 0.25, reports.Room(min(demand, 1.0), 0.0, demand)
    )


def test_without_reports_requests_are_admitted():
    """Guards against a service closed by a node that reports nothing."""
    room = service_room.ServiceRoom()
    assert room.advance(service_room.Offer(), 0.0) == 1.0
    assert not room.is_current(0.0)


def test_a_service_without_news_is_opened_slowly():
    """Guards against a service that stays closed, or opens at once."""
    room = service_room.ServiceRoom()
    for number in range(50):
        room.record(_report(2.0), 4.0, number * 0.1 - 0.5, number * 0.1)
    now = 5.0
    closed = room.advance(service_room.Offer(), now)
    assert 0.4 < closed < 0.55
    assert room.advance(service_room.Offer(), now + 1.0) < 0.6
    opened = [
        room.advance(service_room.Offer(), now + silence_s)
        for silence_s in (3.0, 5.0, 7.0, 9.0)
    ]
    assert opened == sorted(opened)
    assert opened[-1] == 1.0


def test_classes_share_room_in_order_of_rank():
    """Guards against a class that gets nothing, or one above its work."""
    askers = [(0, 10.0), (1, 60.0), (2, 30.0)]
    division = shares.divide(
        [shares.Asker(priority, "a", work) for priority, work in askers], 0.7
    )
    parts = [division.part(priority, "a") for priority in range(3)]
    assert parts[0] == 1.0
    assert parts[0] >= parts[1] >= parts[2] > 0.25 * 0.7
    admitted = sum(parts[priority] * work for priority, work in askers)
    assert admitted == pytest.approx(70.0)


def test_room_is_divided_by_the_weight_of_organisations():
    """Guards against a burst of one that refuses the requests of others."""
    askers = [
        shares.Asker(0, "small", 1.0, weight=1.0),
        shares.Asker(0, "usual", 10.0, weight=10.0),
        shares.Asker(0, "burst", 70.0, weight=10.0),
    ]
    division = shares.divide(askers, 0.5)
    parts = {a.organisation: division.part(0, a.organisation) for a in askers}
    assert parts["small"] == parts["usual"] == pytest.approx(1.0)
    admitted = sum(parts[a.organisation] * a.work for a in askers)
    assert admitted == pytest.approx(0.5 * 81.0)


def test_no_organisation_starves():
    """Guards against a large organisation that pays for all the others."""
    askers = [shares.Asker(0, f"small-{n}", 1.0) for n in range(40)]
    askers.append(shares.Asker(0, "large", 40.0))
    division = shares.divide(askers, 0.5)
    assert division.part(0, "large") > STARVED * 0.5
    assert division.part(0, "small-0") > division.part(0, "large")


def test_an_organisation_without_a_rate_is_not_taken_for_a_small_one():
    """Guards against unlimited organisations that are refused first."""
    policy = whole_requests.WholeRequests()
    policy.configure(frozenset(["lookup"]), {"limited": 50.0})
    response = request_fleet.response_with((_report(2.0),))
    for number in range(200):
        now = number * 0.05
        for organisation in ("limited", "unlimited"):
            ask = dataclasses.replace(_ask(5.0, 0), organisation=organisation)
            policy.decide(ask, now)
        policy.record_response("lookup", "view", response, now - 0.1, now)
    found = [
        policy.decide(
            dataclasses.replace(_ask(5.0, 0), organisation=organisation), now
        )
        for organisation in ("limited", "unlimited")
    ]
    assert found[0] == pytest.approx(found[1], rel=0.05)
    assert found[0] < 0.6


def test_callers_are_told_to_come_back_in_time_and_apart():
    """Guards against callers that return together, or for nothing."""
    soon = returns.window(5.0, 1.5, 1.0, 0.05)
    assert 0.0 < soon.earliest_s < soon.latest_s <= 0.5
    late = returns.window(5.0, 0.2, 1.0, 0.05)
    assert late.latest_s == pytest.approx(5.0 / 3)
    short = returns.window(0.1, 1.5, 0.0, 9.0)
    assert short.earliest_s == short.latest_s == pytest.approx(0.1 / 3)


def test_callers_without_a_token_get_times_of_their_own():
    """Guards against ten callers that are told of the same token."""
    schedule = returns.TokenSchedule()
    delays = [schedule.delay_s("acme", 0.2, 10.0, 3.0, 1.0) for _ in range(12)]
    assert delays[:9] == pytest.approx([0.2 + 0.1 * n for n in range(9)])
    assert delays[-1] == pytest.approx(1.0)
    assert schedule.delay_s("other", 0.2, 10.0, 3.0, 1.0) == pytest.approx(0.2)


def test_a_caller_that_comes_back_is_told_from_a_first_call():
    """Guards against callers that are refused again and again."""
    times = returns.CallerTimes()
    for _ in range(20):
        assert times.waited_s("lookup", 5.0) == 0.0
    assert times.waited_s("lookup", 4.99) == 0.0
    assert times.waited_s("lookup", 4.0) == pytest.approx(1.0, abs=0.01)
    assert times.waited_s("board", 1.5) == 0.0


def _ask(left_s, bucket):
    return whole_requests.Ask("lookup", "view", "a", 0, bucket, left_s, 2.0)


def test_of_equal_rank_a_caller_that_comes_back_goes_first():
    """Guards against callers that wait for nothing."""
    policy = whole_requests.WholeRequests()
    response = request_fleet.response_with((_report(2.0),))
    for number in range(50):
        now = number * 0.1
        policy.decide(_ask(5.0, 0), now)
        policy.record_response("lookup", "view", response, now - 0.1, now)
    assert policy.covers("view", now)
    assert isinstance(
        policy.decide(_ask(5.0, 80), now), whole_requests.Shortage
    )
    assert isinstance(policy.decide(_ask(4.5, 80), now), float)
    # Its response would be late.
    assert isinstance(
        policy.decide(_ask(2.0, 80), now), whole_requests.Shortage
    )
