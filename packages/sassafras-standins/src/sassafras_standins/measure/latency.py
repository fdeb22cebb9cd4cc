"""Latency and CPU time that nodes add to a call, paired with direct calls."""

import itertools

import trio

from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import pacing
from sassafras_standins.measure import figures

_PATH = "/ledger/entries"
_BODY = b"x" * 300
_RATES_PER_S = (50, 350)
_SECONDS = 6
_PAIRS = 2
_P99_BOUND_MS = 1.0
_SERVICE_MS = 2.0


async def _latencies(
    client: caller.Caller, rate_per_s: int, seconds: float
) -> list[float]:
    """Returns the latencies in ms of the calls that ran."""
    results: list[float] = []

    async def request(number: int) -> None:
        del number
        started = pacing.monotonic_ms()
        answer = await client.request("PUT", _PATH, _BODY)
        if answer.status == 200:
            results.append(pacing.monotonic_ms() - started)

    count = int(rate_per_s * seconds)
    await pacing.at_rate(rate_per_s, count, request)
    if len(results) < 0.99 * count:
        raise RuntimeError(f"only {len(results)} of {count} calls ran")
    return results


async def _paired(
    fleet: launcher.Fleet,
    hops: str,
    direct: caller.Caller,
    through: caller.Caller,
    rate_per_s: int,
) -> list[figures.Figure]:
    direct_ms: list[float] = []
    through_ms: list[float] = []
    cpu_s = 0.0
    pids = [fleet.pid(f"node-{place.name}") for place in fleet.places]
    for _ in range(_PAIRS):
        seconds = _SECONDS / _PAIRS
        direct_ms += await _latencies(direct, rate_per_s, seconds)
        before = sum(pacing.cpu_seconds(pid) for pid in pids)
        through_ms += await _latencies(through, rate_per_s, seconds)
        cpu_s += sum(pacing.cpu_seconds(pid) for pid in pids) - before
    suffix = f"{hops}_{rate_per_s}"

    def added(part: float) -> float:
        return pacing.percentile(through_ms, part) - pacing.percentile(
            direct_ms, part
        )

    return [
        figures.Figure(f"added_p50_ms_{suffix}", added(0.5), "ms"),
        figures.Figure(
            f"added_p99_ms_{suffix}",
            added(0.99),
            "ms",
            figures.Sense.AT_MOST,
            _P99_BOUND_MS,
        ),
        figures.Figure(
            f"cpu_ms_per_call_{suffix}",
            cpu_s * 1000 / len(through_ms),
            "ms",
        ),
    ]


@figures.measurements.register("latency")
async def measure() -> list[figures.Figure]:
    """Measures one hop (node beside the target) and two hops (by a peer)."""
    places = [
        launcher.make_place(
            "ledger",
            "zone-a",
            service="ledger",
            service_ms=_SERVICE_MS,
            slots=100,
            connections=128,
        ),
        launcher.make_place("desk", "zone-a", service="desk"),
    ]
    ledger, desk = places
    fleet = launcher.Fleet(places)
    results: list[figures.Figure] = []
    try:
        await fleet.start(samples.document(rate_per_s=1e5, burst=1e5))
        direct = caller.Caller([ledger.target.address])
        clients = {
            "one_hop": caller.Caller(
                [ledger.caller_address], samples.NATIONAL_KEY
            ),
            "two_hops": caller.Caller(
                [desk.caller_address], samples.NATIONAL_KEY
            ),
        }
        for client in clients.values():
            await _warm_up(client)
        for rate_per_s, hops in itertools.product(_RATES_PER_S, clients):
            results += await _paired(
                fleet, hops, direct, clients[hops], rate_per_s
            )
    finally:
        await fleet.close()
    return results


async def _warm_up(client: caller.Caller) -> None:
    with trio.fail_after(30):
        served = 0
        while served < 50:
            answer = await client.request("PUT", _PATH, _BODY)
            served = served + 1 if answer.status == 200 else 0
            await trio.sleep(0.01)
