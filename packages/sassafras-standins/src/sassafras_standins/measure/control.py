"""Measures configuration changes, planned stops and the cost of control."""

import dataclasses
import os
import pathlib
import re

import trio

from sassafras_policy.configuration import document as documents
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import steady
from sassafras_standins.measure import figures

_NODES = 8
_ROUNDS = 3
_POLL_S = 0.01
_TIMEOUT_S = 20.0
_SETTLE_S = 6.0
_IDLE_WINDOW_S = 10.0
# A multiple of the interval at which nodes log their control traffic.
_CONTROL_WINDOW_S = 20.0
_REQUESTS_PER_S = 60.0
_RESTARTED_NODES = 4
# WebSocket, TCP and IPv4 headers of one small message.
_MESSAGE_OVERHEAD_BYTES = 60

_TRAFFIC = re.compile(r"control traffic: (\d+) messages, (\d+) bytes")
_REVISION = re.compile(r"configuration revision (\d+) from")


@figures.measurements.register("control")
async def measure_control() -> list[figures.Figure]:
    """Measures a fleet of eight nodes in two zones, each with a target."""
    hosts = _hosts(_NODES)
    # One node cannot reach the store and depends on its peers.
    hosts[-1] = dataclasses.replace(
        hosts[-1], store_address=launcher.free_address()
    )
    fleet = launcher.Fleet(hosts, "[log]\nlevel = DEBUG\n")
    try:
        document = samples.document()
        await fleet.start(document)
        await _wait_until_serving(hosts)
        await trio.sleep(_SETTLE_S)
        document = dataclasses.replace(document, revision=2)
        results = await _measure_idle(fleet, document)
        propagation_s = 0.0
        for _ in range(_ROUNDS):
            document = dataclasses.replace(
                document, revision=document.revision + 1
            )
            propagation_s = max(
                propagation_s, await _time_revision(fleet, document)
            )
        results.append(_at_most("config_in_force_s", propagation_s, "s", 3))
        withdrawal_s = 0.0
        for _ in range(_ROUNDS):
            withdrawal_s = max(
                withdrawal_s, await _time_withdrawal(fleet, document)
            )
            document = dataclasses.replace(
                document, revision=document.revision + 2
            )
        results.append(_at_most("key_withdrawal_s", withdrawal_s, "s", 3))
        results += await _measure_planned_stops(fleet)
        return results
    finally:
        await fleet.close()


@figures.measurements.register("store_calls")
async def measure_store_calls() -> list[figures.Figure]:
    """Measures the rate of store calls of idle fleets of three sizes."""
    rates: dict[int, float] = {}

    async def measure(size: int) -> None:
        fleet = launcher.Fleet(_hosts(size))
        try:
            await fleet.start(samples.document())
            await trio.sleep(_SETTLE_S)
            rates[size] = await _store_call_rate(fleet) / size
        finally:
            await fleet.close()

    async with trio.open_nursery() as nursery:
        for size in (4, 8, 16):
            nursery.start_soon(measure, size)
    return [
        figures.Figure(f"store_calls_per_node_s.{size}", rates[size], "1/s")
        for size in sorted(rates)
    ]


def _hosts(count: int) -> list[launcher.Host]:
    return [
        launcher.make_host(
            f"desk-{number}",
            f"zone-{number % 2}",
            service="desk",
            slots=40,
            service_ms=50.0,
        )
        for number in range(count)
    ]


def _at_most(
    name: str, value: float, unit: str, bound: float
) -> figures.Figure:
    return figures.Figure(name, value, unit, figures.Sense.AT_MOST, bound)


def _addresses(hosts: list[launcher.Host]) -> list[str]:
    return [host.caller_address for host in hosts]


async def _wait_until_serving(hosts: list[launcher.Host]) -> None:
    for host in hosts:
        bank = caller.Caller([host.caller_address], samples.COOPERATIVE_KEY)
        with trio.fail_after(_TIMEOUT_S):
            while (await bank.request("GET", "/desk/1")).status != 200:
                await trio.sleep(_POLL_S)
        await bank.close()


async def _measure_idle(
    fleet: launcher.Fleet, document: documents.Document
) -> list[figures.Figure]:
    """Measures nodes without calls during one change of the configuration.

    At the planned size in two years, about one change per window is expected.
    """
    names = [f"node-{host.name}" for host in fleet.hosts]
    before = [_cpu_s(fleet.pid(name)) for name in names]
    started = trio.current_time()
    traffic = [_traffic_bytes(fleet, name) for name in names]
    await trio.sleep(_CONTROL_WINDOW_S / 2)
    await fleet.write_configuration(document)
    await trio.sleep(_CONTROL_WINDOW_S / 2)
    span_s = trio.current_time() - started
    rate = max(
        (_traffic_bytes(fleet, name) - earlier) / _CONTROL_WINDOW_S
        for name, earlier in zip(names, traffic, strict=True)
    )
    used = [
        100 * (_cpu_s(fleet.pid(name)) - earlier) / span_s
        for name, earlier in zip(names, before, strict=True)
    ]
    rss = max(_rss_mb(fleet.pid(name)) for name in names)
    return [
        _at_most("node_idle_cpu_percent", max(used), "%", 1.8),
        _at_most("node_rss_mb", rss, "MB", 64),
        _at_most("node_control_bytes_s", rate, "B/s", 3072),
    ]


def _cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The second field, a name in parentheses, may contain spaces.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(found[1]) / 1024 if found else 0.0


async def _store_call_rate(fleet: launcher.Fleet) -> float:
    async def count() -> int:
        content = await fleet.control(fleet.store_address, "/standin/calls")
        calls = content["calls"]
        assert isinstance(calls, dict)
        return sum(calls.values())

    before = await count()
    started = trio.current_time()
    await trio.sleep(_IDLE_WINDOW_S)
    return (await count() - before) / (trio.current_time() - started)


async def _time_revision(
    fleet: launcher.Fleet, document: documents.Document
) -> float:
    """Returns the seconds from a write until all nodes log the revision."""
    started = trio.current_time()
    await fleet.write_configuration(document)
    pending = {f"node-{host.name}" for host in fleet.hosts}
    with trio.fail_after(_TIMEOUT_S):
        while pending:
            pending = {
                name
                for name in pending
                if str(document.revision)
                not in _REVISION.findall(fleet.log(name))
            }
            await trio.sleep(_POLL_S)
    return trio.current_time() - started


async def _time_withdrawal(
    fleet: launcher.Fleet, document: documents.Document
) -> float:
    """Returns the seconds until open connections reject a withdrawn key."""
    callers = [
        caller.Caller([address], samples.NATIONAL_KEY)
        for address in _addresses(fleet.hosts)
    ]
    await _wait_until_status(callers, 200)
    started = trio.current_time()
    withdrawn = samples.without_key(document, "national-bank")
    await fleet.write_configuration(withdrawn)
    span_s = 0.0

    async def wait_until_rejected(bank: caller.Caller) -> None:
        nonlocal span_s
        await _wait_until_status([bank], 401)
        span_s = max(span_s, trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for bank in callers:
            nursery.start_soon(wait_until_rejected, bank)
    await fleet.write_configuration(
        dataclasses.replace(document, revision=withdrawn.revision + 1)
    )
    await _wait_until_status(callers, 200)
    for bank in callers:
        await bank.close()
    return span_s


async def _wait_until_status(callers: list[caller.Caller], status: int) -> None:
    with trio.fail_after(_TIMEOUT_S):
        for bank in callers:
            while (await bank.request("GET", "/desk/1")).status != status:
                await trio.sleep(_POLL_S)


async def _measure_planned_stops(
    fleet: launcher.Fleet,
) -> list[figures.Figure]:
    """Drains a target and restarts nodes under a steady load."""
    bank = caller.Caller(_addresses(fleet.hosts), samples.COOPERATIVE_KEY)
    load = steady.SteadyLoad(bank, "POST", "/desk/1", _REQUESTS_PER_S)
    new_work_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(2.0)
        new_work_s = await _time_last_start(fleet, fleet.hosts[0])
        for host in fleet.hosts[1 : 1 + _RESTARTED_NODES]:
            await fleet.stop(f"node-{host.name}")
            fleet.start_node(host)
            await _wait_until_serving([host])
        load.stop()
    await bank.close()
    lost = len(load.tally.lost) + len(load.tally.refused)
    return [
        _at_most("drain_new_work_s", new_work_s, "s", 2),
        _at_most("cut_in_flight", lost, "requests", 0),
    ]


async def _time_last_start(fleet: launcher.Fleet, host: launcher.Host) -> float:
    """Returns the seconds from `leaving` to the target's last new request."""

    async def count() -> object:
        address = host.target.address
        return (await fleet.control(address, "/standin/counters"))["started"]

    await fleet.control(host.target.address, "/standin/leave", {})
    left_at = trio.current_time()
    last_at = left_at
    started = await count()
    while trio.current_time() < left_at + 5.0:
        current = await count()
        if current != started:
            started, last_at = current, trio.current_time()
        await trio.sleep(_POLL_S)
    return last_at - left_at


def _traffic_bytes(fleet: launcher.Fleet, name: str) -> int:
    """Returns the last logged byte count of a node, with message headers."""
    messages, payload = _TRAFFIC.findall(fleet.log(name))[-1]
    return int(payload) + int(messages) * _MESSAGE_OVERHEAD_BYTES
