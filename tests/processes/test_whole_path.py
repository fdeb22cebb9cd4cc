"""A call chain through nodes and targets, with real processes."""

import json

import pytest

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller

pytestmark = pytest.mark.processes


def _hosts():
    return [
        launcher.make_host(
            "desk", "zone-a", service="desk", sub_calls=["/accounts/7"]
        ),
        launcher.make_host(
            "accounts", "zone-b", service="accounts", sub_calls=["/ledger/7"]
        ),
        launcher.make_host("ledger", "zone-a", service="ledger"),
    ]


async def test_a_chain_of_three_completes_and_a_withdrawn_key_is_rejected():
    """Guards against a broken chain, and against withdrawn keys that work."""
    hosts = _hosts()
    fleet = launcher.Fleet(hosts)
    addresses = [host.caller_address for host in hosts]
    try:
        await fleet.start(samples.document())
        bank = caller.Caller(addresses, samples.NATIONAL_KEY)

        async def served_everywhere():
            results = [await bank.request("GET", "/desk/1") for _ in addresses]
            return all(result.status == 200 for result in results)

        await waiting.until(served_everywhere, "every node serves the chain")
        result = await bank.request("GET", "/desk/1", request_id="whole")
        assert result.outcome == "ran"
        assert json.loads(result.body)["request_id"] == "whole"
        await fleet.write_configuration(
            samples.without_key(samples.document(), "national-bank")
        )

        async def rejected_everywhere():
            results = [await bank.request("GET", "/desk/1") for _ in addresses]
            return all(result.status == 401 for result in results)

        await waiting.until(rejected_everywhere, "every node rejects the key")
        counters = await fleet.control(
            hosts[0].target.address, "/standin/counters"
        )
        assert "authorization" not in counters["seen_headers"]
        for host in hosts:
            assert await fleet.stop(f"node-{host.name}") == 0
            assert samples.NATIONAL_KEY not in fleet.log(f"node-{host.name}")
    finally:
        await fleet.close()
