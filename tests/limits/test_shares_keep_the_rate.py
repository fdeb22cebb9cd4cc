"""In every window, admitted <= rate x time + burst, under any faults."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from limits import simulation
from sassafras_policy.limits import token_escrow
from sassafras_standins.load import rate_bounds

_FAULTS = ("pause", "restart", "cut", "join", "leave", "rate")


@st.composite
def _scripts(draw):
    """Generates a fleet, its network, its load and its faults."""
    return {
        "seed": draw(st.integers(0, 2**32)),
        "nodes": draw(st.integers(1, 9)),
        "rate": draw(st.sampled_from([2.0, 10.0, 30.0])),
        "burst": draw(st.sampled_from([1.0, 5.0, 20.0, 50.0])),
        "loss": draw(st.sampled_from([0.0, 0.1, 0.5])),
        "doubling": draw(st.sampled_from([0.0, 0.3])),
        "delay": draw(st.sampled_from([0.002, 0.05, 0.6])),
        "load": draw(st.sampled_from([0.9, 3.0, 6.0])),
        "idle": draw(st.sampled_from([0.0, 0.3, 1.0])),
        "hot": draw(st.integers(1, 9)),
        "faults": draw(
            st.lists(
                st.tuples(
                    st.sampled_from(_FAULTS),
                    st.floats(0.5, 7.0),
                    st.integers(0, 30),
                    st.sampled_from([0.1, 0.3, 1.0, 30.0]),
                ),
                max_size=8,
            )
        ),
    }


def _apply(sim, kind, number, span_s):
    node_ids = sorted(sim.nodes)
    node_id = node_ids[number % len(node_ids)]
    if kind == "pause":
        sim.pause(node_id, span_s)
    elif kind == "restart":
        sim.restart(node_id)
    elif kind == "cut":
        sim.cut(node_id, span_s)
    elif kind == "join":
        sim.join(f"10.0.1.{number}:7401")
    elif kind == "leave":
        sim.leave_permanently(node_id)


def _offer_load(sim, rng, script, end):
    """Schedules requests at random times; their hosts change each second.

    Shares fill up in pauses. Between them demand is far above the rate, as
    excess tokens are detected only then.
    """
    rate_per_s = script["rate"] * script["load"]
    hot = script["hot"]
    idle_s = min(3.0, 1.2 * script["burst"] / script["rate"])
    at = 0.0
    while at < end:
        at += rng.expovariate(rate_per_s)
        if rng.random() < script["idle"] / rate_per_s:
            at += idle_s

        def arrive(at=at):
            node_ids = sorted(sim.nodes)
            first = int(at) * 3
            sim.request(node_ids[(first + rng.randrange(hot)) % len(node_ids)])

        sim.after(at, arrive)


def _hoard_and_flood(sim, rng, script, end):
    """Schedules pauses, each followed by hoarding and a flood of requests.

    Correct shares admit exactly the burst in a flood, so that a single excess
    token is detected.
    """
    refill_s = script["burst"] / script["rate"] + 0.3
    flood = int(script["burst"] * 1.5) + 3
    at = 0.5
    while at < end:
        at += refill_s * rng.uniform(0.7, 1.3)
        hoarders = rng.sample(range(9), rng.choice([0, 1, 1, 3]))
        all_nodes = rng.random() < 0.5
        offsets = sorted(rng.uniform(0.0, 0.3) for _ in range(3))

        def hoard(hoarders=hoarders):
            node_ids = sorted(sim.nodes)
            for number in hoarders:
                sim.hoard(node_ids[number % len(node_ids)])

        def request(hoarders=hoarders, all_nodes=all_nodes):
            node_ids = sorted(sim.nodes)
            chosen = range(len(node_ids)) if all_nodes else hoarders
            for number in chosen:
                for _ in range(flood):
                    if not sim.request(node_ids[number % len(node_ids)]):
                        break

        for offset in offsets:
            sim.after(at + offset, hoard)
        sim.after(at + offsets[2] + rng.uniform(0.0, 0.1), request)
        sim.after(at + offsets[1] + 0.01, request)


def _run(script, limiter=token_escrow.TokenEscrow):
    rng = random.Random(script["seed"])
    rate, burst = script["rate"], script["burst"]
    sim = simulation.Simulation(rng, rate, burst, script["nodes"], limiter)
    sim.loss = script["loss"]
    sim.duplication = script["doubling"]
    sim.max_delay_s = script["delay"]
    highest_rate, highest_burst = rate, burst
    for kind, at, number, span_s in script["faults"]:
        if kind == "rate":
            changed_rate = rate * (0.5 + number / 10)
            changed_burst = max(1.0, burst * (0.5 + number / 10))
            highest_rate = max(highest_rate, changed_rate)
            highest_burst = max(highest_burst, changed_burst)
            sim.after(at, sim.change_rate, changed_rate, changed_burst)
        else:
            sim.after(at, _apply, sim, kind, number, span_s)
    max_span_s = max((span_s for *_, span_s in script["faults"]), default=0.0)
    end = 8.0 + max_span_s
    if limiter is simulation.GreedyLimiter:
        _hoard_and_flood(sim, rng, script, end)
    else:
        _offer_load(sim, rng, script, end)
    sim.run_until(end)
    return sim, highest_rate, highest_burst


@settings(max_examples=60, deadline=None, derandomize=True)
@given(_scripts())
def test_no_window_has_more_than_rate_and_burst_allow(script):
    """Guards against token requests and grants that are miscounted."""
    sim, rate, burst = _run(script)
    assert rate_bounds.excess(sim.admitted, rate, burst) <= 1e-6


@settings(max_examples=200, deadline=None, derandomize=True)
@given(_scripts())
def test_greedy_nodes_find_no_more_than_rate_and_burst_allow(script):
    """Guards against tokens that are spent twice or refilled too early."""
    sim, rate, burst = _run(script, simulation.GreedyLimiter)
    assert rate_bounds.excess(sim.admitted, rate, burst) <= 1e-6


@pytest.mark.parametrize("seed", range(10))
def test_faults_do_not_stop_admission_for_good(seed):
    """Guards against a limiter that keeps the bound by refusing everything.

    Requests do not wait for tokens here, so more are refused than at a node;
    test_wrongful_refusals.py has the strict bounds.
    """
    script = {
        "seed": seed,
        "nodes": 6,
        "rate": 100.0,
        "burst": 100.0,
        "loss": 0.1,
        "doubling": 0.1,
        "delay": 0.005,
        "load": 0.95,
        "hot": 1,
        "idle": 0.0,
        "faults": [
            ("pause", 3.0, seed, 2.0),
            ("restart", 4.0, seed + 1, 0.1),
            ("cut", 5.0, seed + 2, 2.0),
            ("join", 6.0, seed, 0.1),
        ],
    }
    sim, rate, burst = _run(script)
    assert rate_bounds.excess(sim.admitted, rate, burst) <= 1e-6
    late = [at for at in sim.admitted if at > sim.now - 5.0]
    assert len(late) > 5.0 * rate * 0.95 * 0.5
