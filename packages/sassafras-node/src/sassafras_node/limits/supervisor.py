"""Supervises the token exchange with the holders of base shares.

Children: `holders` (follows the roster) and one `holder:<node>` for each
holder of some organisation. An exchange that fails restarts alone with a
back-off and never gives up: an unreachable holder is not a fault of this node.
"""

import functools

import trio

from sassafras_base import supervision
from sassafras_node import runtime as runtimes
from sassafras_node.limits import exchange

# Imported so that its handler is registered.
from sassafras_node.limits import handler as handler

_EXCHANGE_POLICY = supervision.RestartPolicy(
    initial_backoff_s=0.1, max_backoff_s=1.0, max_failures=2**31
)
_PREFIX = "holder:"
_CHECK_INTERVAL_S = 5.0


async def run(runtime: runtimes.Runtime) -> None:
    """Runs the children until cancelled."""
    supervisor = supervision.Supervisor("node/limits", _EXCHANGE_POLICY)
    runtime.supervisors[supervisor.path] = supervisor
    await supervisor.run(
        [
            supervision.Child(
                "holders",
                functools.partial(_follow_holders, runtime, supervisor),
            )
        ]
    )


async def _follow_holders(
    runtime: runtimes.Runtime, supervisor: supervision.Supervisor
) -> None:
    """Runs one exchange for each current holder."""
    while True:
        changed = runtime.changed
        supervisor.reconcile(
            _PREFIX,
            {
                holder: functools.partial(exchange.run, runtime, holder)
                for holder in runtime.limiter.holders
            },
        )
        with trio.move_on_after(_CHECK_INTERVAL_S):
            await changed.wait()
