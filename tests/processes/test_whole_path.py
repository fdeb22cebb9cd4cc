"""One path from a caller through nodes and targets, as real processes."""

import json

import pytest

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller

pytestmark = pytest.mark.processes


def _places():
    return [
        launcher.make_place(
            "desk", "zone-a", service="desk", sub_calls=["/accounts/7"]
        ),
        launcher.make_place(
            "accounts", "zone-b", service="accounts", sub_calls=["/ledger/7"]
        ),
        launcher.make_place("ledger", "zone-a", service="ledger"),
    ]


async def test_a_call_of_depth_three_returns_whole_and_a_withdrawn_key_stops():
    """Guards against a broken path and against keys that outlive a change."""
    places = _places()
    fleet = launcher.Fleet(places)
    addresses = [place.caller_address for place in places]
    try:
        await fleet.start(samples.document())
        bank = caller.Caller(addresses, samples.NATIONAL_KEY)

        async def served_everywhere():
            answers = [await bank.request("GET", "/desk/1") for _ in addresses]
            return all(answer.status == 200 for answer in answers)

        await waiting.until(served_everywhere, "every node serves the chain")
        answer = await bank.request("GET", "/desk/1", request_id="whole")
        assert answer.outcome == "ran"
        assert json.loads(answer.body)["request_id"] == "whole"
        await fleet.write_configuration(
            samples.without_key(samples.document(), "national-bank")
        )

        async def refused_everywhere():
            answers = [await bank.request("GET", "/desk/1") for _ in addresses]
            return all(answer.status == 401 for answer in answers)

        await waiting.until(refused_everywhere, "every node refuses the key")
        counters = await fleet.control(
            places[0].target.address, "/standin/counters"
        )
        assert "authorization" not in counters["seen_headers"]
        for place in places:
            assert await fleet.stop(f"node-{place.name}") == 0
            assert samples.NATIONAL_KEY not in fleet.log(f"node-{place.name}")
    finally:
        await fleet.close()
