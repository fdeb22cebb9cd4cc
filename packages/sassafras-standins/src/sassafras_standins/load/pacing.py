"""Constant-rate load, percentiles and the resource usage of processes."""

from collections.abc import Awaitable
from collections.abc import Callable
import os
import time

import trio

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

Request = Callable[[int], Awaitable[None]]


async def at_rate(rate_per_s: float, count: int, send: Request) -> None:
    """Starts `count` requests at a constant rate and waits for all of them.

    The load is open-loop: a slow request does not delay the next one, so a
    slow server receives the full rate.
    """
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(count):
            await trio.sleep_until(start + number / rate_per_s)
            nursery.start_soon(send, number)


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value at a fraction (0 to 1) of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def monotonic_ms() -> float:
    """Returns monotonic milliseconds."""
    return time.perf_counter() * 1000
