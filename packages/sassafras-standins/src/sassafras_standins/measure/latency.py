"""Latency and CPU time that nodes add to a call, against direct calls."""

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
_DURATION_S = 6
_ROUNDS = 2
_MAX_ADDED_P99_MS = 1.0
_SERVICE_MS = 2.0


async def _latencies(
    client: caller.Caller, rate_per_s: int, seconds: float
) -> list[float]:
    """Sends calls at a constant rate; returns latencies of successes in ms."""
    results: list[float] = []

    async def request(number: int) -> None:
        del number
        started = pacing.monotonic_ms()
        result = await client.request("PUT", _PATH, _BODY)
        if result.status == 200:
            results.append(pacing.monotonic_ms() - started)

    count = int(rate_per_s * seconds)
    await pacing.at_rate(rate_per_s, count, request)
    if len(results) < 0.99 * count:
        raise RuntimeError(f"only {len(results)} of {count} calls succeeded")
    return results


async def _measure_added(
    fleet: launcher.Fleet,
    hops: str,
    direct: caller.Caller,
    proxied: caller.Caller,
    rate_per_s: int,
) -> list[figures.Figure]:
    direct_ms: list[float] = []
    proxied_ms: list[float] = []
    cpu_s = 0.0
    pids = [fleet.pid(f"node-{host.name}") for host in fleet.hosts]
    for _ in range(_ROUNDS):
        seconds = _DURATION_S / _ROUNDS
        direct_ms += await _latencies(direct, rate_per_s, seconds)
        before = sum(pacing.cpu_seconds(pid) for pid in pids)
        proxied_ms += await _latencies(proxied, rate_per_s, seconds)
        cpu_s += sum(pacing.cpu_seconds(pid) for pid in pids) - before
    suffix = f"{hops}_{rate_per_s}"

    def added(fraction: float) -> float:
        return pacing.percentile(proxied_ms, fraction) - pacing.percentile(
            direct_ms, fraction
        )

    return [
        figures.Figure(f"added_p50_ms_{suffix}", added(0.5), "ms"),
        figures.Figure(
            f"added_p99_ms_{suffix}",
            added(0.99),
            "ms",
            figures.Sense.AT_MOST,
            _MAX_ADDED_P99_MS,
        ),
        figures.Figure(
            f"cpu_ms_per_call_{suffix}",
            cpu_s * 1000 / len(proxied_ms),
            "ms",
        ),
    ]


@figures.measurements.register("latency")
async def measure() -> list[figures.Figure]:
    """Measures calls over one node (one hop) and over a peer (two hops)."""
    hosts = [
        launcher.make_host(
            "ledger",
            "zone-a",
            service="ledger",
            service_ms=_SERVICE_MS,
            slots=100,
            connections=128,
        ),
        launcher.make_host("desk", "zone-a", service="desk"),
    ]
    ledger, desk = hosts
    fleet = launcher.Fleet(hosts)
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
            results += await _measure_added(
                fleet, hops, direct, clients[hops], rate_per_s
            )
    finally:
        await fleet.close()
    return results


async def _warm_up(client: caller.Caller) -> None:
    with trio.fail_after(30):
        served = 0
        while served < 50:
            result = await client.request("PUT", _PATH, _BODY)
            served = served + 1 if result.status == 200 else 0
            await trio.sleep(0.01)
