"""Choice among targets that differ, on virtual time.

Each test sends the same load twice: with the power of two choices, which fails
the bound, and with the expected wait.
"""

import functools
import random
import sys

import pytest
import trio

from common import placing
from sassafras_node.mesh.calls import dispatch
from sassafras_policy.calls import messages
from sassafras_policy.mesh import calls

BEFORE = ("power-of-two", "adaptive")
AFTER = ("expected-wait", "paced")
SEEDS = range(2)
# Half of the share of late calls that operators notice.
MAX_MISSED = 0.02


async def _fleet(policies, seed, targets, callers, zones=("zone-a",)):
    """Returns a fleet with targets of the given fields."""
    balancer, admission = policies
    rng = random.Random(seed)
    fleet = placing.Fleet(
        balancer,
        rng,
        [zones[number % len(zones)] for number in range(callers)],
        admission,
    )
    for number, fields in enumerate(targets):
        await fleet.add_target(
            f"target-{number}",
            placing.Target(rng, **fields),
            zones[number % len(zones)],
        )
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
async def test_targets_of_uneven_speed_get_what_they_can_do(seed):
    """Guards against late calls at slow targets while fast ones have room.

    Sixty nodes know little of each of the targets, and send them no herd.
    """
    speeds = [0.7, 0.7, 1.6] * 5 + [1.0, 1.0]
    targets = [{"work_s": 0.41, "speed": s, "slots": 17} for s in speeds]
    rate_per_s = 0.7 * sum(speeds) * 17 / 0.41
    missed = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=60)
        await fleet.load(rate_per_s, 2.0)
        ends = await fleet.load(rate_per_s, 5.0, aim_s=0.8)
        missed.append(ends.missed)
    assert missed[0] > MAX_MISSED >= missed[1]


@pytest.mark.parametrize("seed", SEEDS)
async def test_targets_stay_below_the_knee(seed):
    """Guards against a service that slows down at its last slots.

    Beyond them it serves less than what arrives, and does not recover.
    """
    speeds = [0.7, 0.7, 1.3, 1.3]
    targets = [
        {"work_s": 0.063, "speed": s, "slots": 40, "knee": 1.3} for s in speeds
    ]
    rate_per_s = 0.85 * sum(speeds) * 40 / 0.063
    missed = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=32)
        await fleet.load(rate_per_s, 2.0, 0.3, 0.7)
        ends = await fleet.load(rate_per_s, 2.0, aim_s=0.3, deadline_s=0.7)
        missed.append(ends.missed)
    assert missed[0] > MAX_MISSED >= missed[1]


@pytest.mark.parametrize("seed", SEEDS)
async def test_targets_that_slow_down_get_few_calls(seed):
    """Guards against calls that end late at targets on busy hosts."""
    targets = [{"work_s": 0.063, "slots": 20}] * 10
    rate_per_s = 1000.0
    missed = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=16)
        await fleet.load(rate_per_s, 1.0, 0.3, 0.7)
        for number in range(4):
            target = fleet.targets[f"target-{number}"]
            target.slowdown = lambda _: 12.0
        await fleet.load(rate_per_s, 1.0, 0.3, 0.7)
        ends = await fleet.load(rate_per_s, 3.0, 0.3, 0.7)
        missed.append(ends.missed)
    assert missed[1] < missed[0] / 2


def _state(running, slowdown):
    return lambda target: (
        f"{running(target)},0,{target.slots},{slowdown(target)}"
    )


_REPORTS = {
    "missing": lambda target: None,
    "unreadable": lambda target: "many",
    "claims to be idle": _state(lambda t: 0, lambda t: 1),
    "claims to be full": _state(lambda t: 9999, lambda t: 1200),
    "late": _state(
        lambda t: t.running,
        lambda t: 100 + 300 * (int(trio.current_time() - 1.0) % 2),
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("report", _REPORTS)
async def test_a_report_that_is_wrong_changes_nothing(report, seed):
    """Guards against a target that attracts or loses calls by its report."""
    targets = [{"work_s": 0.063, "slots": 40}] * 4
    targets[0] = {**targets[0], "stated_load": _REPORTS[report]}
    fleet = await _fleet(AFTER, seed, targets, callers=16)
    await fleet.load(1000.0, 1.0)
    ends = await fleet.load(1000.0, 3.0, aim_s=0.2)
    assert ends.missed == 0
    assert 0.2 <= ends.targets["target-0"] / ends.offered <= 0.3


@pytest.mark.parametrize("seed", SEEDS)
async def test_targets_that_reject_calls_get_few(seed):
    """Guards against a retry budget that rejections use up."""
    targets = [{"work_s": 0.063, "slots": 40}] * 5
    targets[:2] = [{**targets[0], "rejected_share": 0.55}] * 2
    missed = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=16)
        await fleet.load(1500.0, 1.0)
        ends = await fleet.load(1500.0, 3.0)
        missed.append(ends.missed)
    assert missed[0] > MAX_MISSED >= missed[1]


@pytest.mark.parametrize("seed", SEEDS)
async def test_calls_leave_the_zone_only_while_its_targets_are_busy(seed):
    """Guards against needless bytes between zones, and against full zones."""
    zones = ("zone-a", "zone-b")
    targets = [{"work_s": 0.063, "slots": 40}] * 4
    fleet = await _fleet(AFTER, seed, targets, callers=4, zones=zones)
    near = [n for n in fleet.callers if n.entry.availability_zone == "zone-a"]
    capacity_per_s = 2 * 40 / 0.063
    await fleet.load(0.5 * capacity_per_s, 1.0, nodes=near)
    ends = await fleet.load(0.5 * capacity_per_s, 3.0, nodes=near)
    far = ends.targets["target-1"] + ends.targets["target-3"]
    assert far / ends.offered < MAX_MISSED
    ends = await fleet.load(1.4 * capacity_per_s, 3.0, aim_s=0.2, nodes=near)
    assert ends.missed <= MAX_MISSED


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_target_that_starts_gets_what_it_can_do(seed):
    """Guards against a cold target that is flooded, and one left idle."""
    targets = [{"work_s": 0.1, "slots": 40}] * 4
    rate_per_s = 0.5 * 4 * 40 / 0.1
    missed = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=24)
        await fleet.load(rate_per_s, 2.0)
        warm_at = trio.current_time() + 2.0
        await fleet.start_target(
            "target-3",
            placing.Target(
                fleet.rng,
                0.1,
                slots=40,
                slowdown=lambda now, at=warm_at: 3.0 if now < at else 1.0,
            ),
        )
        ends = await fleet.load(rate_per_s, 1.0, aim_s=0.4)
        missed.append(ends.missed)
    assert missed[1] < missed[0] / 2
    # A second after it is warm, it has its part.
    await fleet.load(rate_per_s, 2.0)
    ends = await fleet.load(rate_per_s, 1.0)
    assert ends.targets["target-3"] / ends.offered > 0.2


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_target_that_recovers_is_used_as_soon_as_before(seed):
    """Guards against a target that stays idle after an outage."""
    targets = [{"work_s": 0.1, "slots": 40}] * 4
    rate_per_s = 0.5 * 4 * 40 / 0.1
    shares = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=24)
        await fleet.load(rate_per_s, 2.0)
        fleet.targets["target-3"].is_down = True
        await fleet.load(rate_per_s, 2.0)
        fleet.targets["target-3"].is_down = False
        ends = await fleet.load(rate_per_s, 6.0)
        assert ends.missed <= MAX_MISSED
        shares.append(ends.targets["target-3"] / ends.offered)
    assert shares[1] >= shares[0] - MAX_MISSED


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_service_that_starts_together_is_not_held_back(seed):
    """Guards against refusals where all targets are new."""
    targets = [{"work_s": 0.25, "slots": 39}] * 4
    rate_per_s = 0.8 * 4 * 39 / 0.25
    fleet = await _fleet(AFTER, seed, targets, callers=60)
    ends = await fleet.load(rate_per_s, 2.0)
    assert ends.missed <= MAX_MISSED


@pytest.mark.parametrize("seed", SEEDS)
async def test_calm_is_no_worse(seed):
    """Guards against a balancer that costs latency on ordinary days."""
    targets = [{"work_s": 0.063, "slots": 40}] * 4
    latencies_s = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, seed, targets, callers=16)
        await fleet.load(1000.0, 1.0)
        ends = await fleet.load(1000.0, 3.0)
        assert ends.missed == 0
        latencies_s.append(ends.quantile_s(0.99))
    assert latencies_s[1] <= 1.02 * latencies_s[0]


def _count_calls(function):
    counted = 0

    def count(frame, event, argument):
        nonlocal counted
        del frame, argument
        counted += event == "call"

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return counted


async def test_a_choice_makes_no_more_function_calls():
    """Guards against processor time that the better choice would cost."""
    targets = [{"work_s": 0.063, "slots": 40}] * 10
    counted = []
    for policies in (BEFORE, AFTER):
        fleet = await _fleet(policies, 1, targets, callers=2)
        await fleet.load(1000.0, 1.0)
        call = calls.Call(
            request=messages.Request("GET", "/", (), b""),
            request_id="r",
            caller_service="",
            organisation="",
            service=placing.SERVICE,
            context=messages.CallContext("r", "", 0, 0, 1e9, 0, False),
            is_idempotent=True,
            route=placing.ROUTE,
        )
        choose = functools.partial(
            dispatch._choose, fleet.callers[0], call, dispatch.SendHistory()
        )
        choose()
        counted.append(sum(_count_calls(choose) for _ in range(50)))
    assert counted[1] <= counted[0]
