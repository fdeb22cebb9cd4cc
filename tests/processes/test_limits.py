"""An organisation's rate over several nodes, with real processes."""

import pytest
import trio

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import rate_bounds

pytestmark = pytest.mark.processes

RATE_PER_S = 40.0
BURST = 20.0
DURATION_S = 4.0


async def test_nodes_together_admit_the_rate_and_no_more():
    """Guards against nodes whose shares add up to more than the rate."""
    hosts = [
        launcher.make_host(f"desk-{n}", f"zone-{n % 2}", service="desk")
        for n in range(4)
    ]
    fleet = launcher.Fleet(hosts)
    spans, statuses = [], []
    try:
        await fleet.start(samples.document(1, RATE_PER_S, BURST))
        callers = [
            caller.Caller([host.caller_address], samples.NATIONAL_KEY)
            for host in hosts
        ]

        async def served_everywhere():
            results = [await one.request("GET", "/desk/1") for one in callers]
            return all(result.status == 200 for result in results)

        await waiting.until(served_everywhere, "every node admits requests")

        async def send(one):
            sent_at = trio.current_time()
            result = await one.request("GET", "/desk/1")
            statuses.append(result.status)
            if result.status == 200:
                spans.append((sent_at, trio.current_time()))

        # The load is three times the rate; one host receives half of it.
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(int(DURATION_S * RATE_PER_S * 3)):
                await trio.sleep_until(start + number / (RATE_PER_S * 3))
                one = callers[0] if number % 2 else callers[number // 2 % 4]
                nursery.start_soon(send, one)
        assert set(statuses) == {200, 429}
        assert rate_bounds.worst_ratio(spans, RATE_PER_S, BURST) <= 1.0
        assert len(spans) >= 0.8 * RATE_PER_S * DURATION_S
    finally:
        await fleet.close()
