"""Measures how late the event loop of the node is."""

import trio

from sassafras_node.mesh import runtime as runtimes

# Short enough to follow a surge, at a thousandth of a core.
_INTERVAL_S = 0.05
# A node without work has no lag to follow.
_IDLE_INTERVAL_S = 0.25


async def run(runtime: runtimes.Runtime) -> None:
    """Measures the lag until cancelled."""
    while True:
        is_busy = runtime.drain.in_flight > 0
        due_at = runtime.clock.now() + (
            _INTERVAL_S if is_busy else _IDLE_INTERVAL_S
        )
        await trio.sleep_until(due_at)
        now = runtime.clock.now()
        runtime.processor.record_lag(now - due_at, now)
