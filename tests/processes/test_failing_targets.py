"""Failures of one target of three, with real processes."""

import dataclasses

import pytest
import trio

from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller

pytestmark = pytest.mark.processes

_CALLS_PER_S = 30
_DEADLINE_MS = 1000
_SETTLE_S = 2.0
_MEASURED_S = 4.0


def _document():
    base = samples.document()
    return dataclasses.replace(
        base,
        routes=tuple(
            dataclasses.replace(route, deadline_ms=_DEADLINE_MS)
            for route in base.routes
        ),
    )


async def _success_ratio(bank, duration_s):
    """Sends calls at a constant rate and returns the ratio of successes."""
    statuses = []

    async def call():
        statuses.append((await bank.request("GET", "/ledger/1")).status)

    async with trio.open_nursery() as nursery:
        for _ in range(int(duration_s * _CALLS_PER_S)):
            nursery.start_soon(call)
            await trio.sleep(1 / _CALLS_PER_S)
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize(
    ("fault", "min_success_ratio"),
    [
        # The node of the crashed target still receives a third of the calls and
        # must forward them to the others.
        ("crash", 0.97),
        ({"fail": True}, 0.85),
        ({"hang": True}, 0.85),
        ({"slow": 10}, 0.95),
    ],
    ids=["crash", "fail fast", "hang", "slow down"],
)
async def test_calls_succeed_when_one_of_three_targets_fails(
    fault, min_success_ratio
):
    """Guards against a third of all calls failing with a single target."""
    hosts = [
        launcher.make_host(
            f"ledger-{number}",
            "zone-a",
            service="ledger",
            slots=4,
            service_ms=20.0,
        )
        for number in range(3)
    ]
    fleet = launcher.Fleet(hosts)
    addresses = [host.caller_address for host in hosts]
    key = (("authorization", f"Bearer {samples.NATIONAL_KEY}"),)
    bank = caller.Caller(addresses, samples.NATIONAL_KEY)
    try:
        await fleet.start(_document())
        for address in addresses:
            await launcher.wait_until_serving(
                address, messages.Request("GET", "/ledger/1", key, b"")
            )
        await _success_ratio(bank, _SETTLE_S)
        if fault == "crash":
            await fleet.kill("target-ledger-1")
        else:
            await fleet.control(
                hosts[1].target.address, "/standin/behaviour", fault
            )
        await _success_ratio(bank, _SETTLE_S)
        assert await _success_ratio(bank, _MEASURED_S) >= min_success_ratio
    finally:
        await bank.close()
        await fleet.close()
