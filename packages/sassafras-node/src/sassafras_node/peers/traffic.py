"""Logs the control traffic between the node and its peers."""

import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes

_INTERVAL_S = 5.0


@events.declare(511, "DEBUG")
def control_traffic(messages: int, payload_bytes: int) -> str:
    """Control messages since the start of the node, and their payload bytes.

    The headers of the layers below are not included.
    """
    return f"control traffic: {messages} messages, {payload_bytes} bytes"


async def run(runtime: runtimes.Runtime) -> None:
    """Logs the totals at fixed intervals."""
    traffic = runtime.credentials.traffic
    while True:
        control_traffic(traffic.messages, traffic.payload_bytes)
        await trio.sleep(_INTERVAL_S)
