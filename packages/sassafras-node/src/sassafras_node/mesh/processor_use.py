"""Reports what the node's processor time was used for."""

import collections
import time

import trio

from sassafras_base import events
from sassafras_base import task_times
from sassafras_node.mesh import runtime as runtimes

# Time between two log lines, each with the differences to the one before.
_REPORT_INTERVAL_S = 5.0
# Steps of tasks are measured during a part of the time only.
_SAMPLE_S = 0.05
_SAMPLE_INTERVAL_S = 1.0


@events.declare(850, "INFO")
def processor_used(
    period_s: float,
    busy_s: float,
    tasks: dict[str, float],
    ends: dict[str, int],
) -> str:
    """What the node used its processor for in a period.

    `busy_s` is the time that the node did not wait, and `tasks` the parts of it
    by child of the supervisor tree, both estimated from samples. `ends` counts
    `requests` that began here, `sub_calls` among them, and `calls` of other
    nodes, by how they ended.
    """
    return f"busy for {busy_s:.2f} s of {period_s:.0f} s"


class _Sampler:
    """Estimates the busy time of each child from samples."""

    def __init__(self) -> None:
        self._times = task_times.TaskTimes()
        self._sampled_s: dict[str, float] = collections.defaultdict(float)
        self._span_s = 0.0

    async def sample(self) -> None:
        started = time.perf_counter()
        sampled = await self._times.sample(_SAMPLE_S)
        for path, run_s in sampled.items():
            self._sampled_s[path] += run_s
        self._span_s += time.perf_counter() - started

    def take(self, period_s: float) -> dict[str, float]:
        """Returns seconds by child in a period, and begins the next one."""
        scale = period_s / self._span_s if self._span_s else 0.0
        estimate = {
            path: run_s * scale for path, run_s in self._sampled_s.items()
        }
        self._sampled_s.clear()
        self._span_s = 0.0
        return estimate


async def run(runtime: runtimes.Runtime) -> None:
    """Samples and reports until cancelled."""
    sampler = _Sampler()
    reported_at = time.perf_counter()
    while True:
        while time.perf_counter() - reported_at < _REPORT_INTERVAL_S:
            await trio.sleep(_SAMPLE_INTERVAL_S - _SAMPLE_S)
            await sampler.sample()
        now = time.perf_counter()
        tasks = sampler.take(now - reported_at)
        runtime.measurements.add_task_times(tasks)
        processor_used(
            round(now - reported_at, 2),
            round(sum(tasks.values()), 3),
            {path: round(run_s, 3) for path, run_s in sorted(tasks.items())},
            runtime.measurements.take_ends(),
        )
        reported_at = now
