"""Idempotency keys while their home node restarts or crashes."""

import pytest

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller

pytestmark = pytest.mark.processes

_KEYS = 24


async def _post(client, key):
    return await client.request(
        "POST",
        "/ledger/entry",
        b"entry",
        (("idempotency-key", key),),
        request_id=key,
    )


async def _executions(hosts, tmp_path):
    request_ids = []
    for host in hosts:
        path = tmp_path / host.name
        if path.exists():
            request_ids += path.read_text().split()
    return [item for item in request_ids if item.startswith("key")]


async def test_keys_survive_a_planned_restart_and_are_unknown_after_a_crash(
    tmp_path,
):
    """Guards against second executions and needless unknown outcomes."""
    hosts = [
        launcher.make_host(
            f"ledger-{number}",
            "zone-a",
            service="ledger",
            journal=str(tmp_path / f"ledger-{number}"),
        )
        for number in range(3)
    ]
    fleet = launcher.Fleet(hosts)
    client = caller.Caller(
        [host.caller_address for host in hosts], samples.NATIONAL_KEY
    )
    # Uses only the nodes that are not restarted.
    others = caller.Caller(
        [host.caller_address for host in hosts[1:]], samples.NATIONAL_KEY
    )
    try:
        await fleet.start(samples.document())

        async def ready():
            results = [await _post(client, f"ready {n}") for n in range(30)]
            return all(result.status == 200 for result in results)

        await waiting.until(ready, "every node reaches every home node")
        first = {}
        for number in range(_KEYS):
            key = f"key-{number}"
            first[key] = await _post(client, key)
            assert first[key].status == 200
        assert await fleet.stop("node-ledger-0") == 0
        assert "E0350" in fleet.log("node-ledger-0")
        while_stopped = [await _post(others, key) for key in first]
        assert any(
            "home-unavailable" in result.outcome for result in while_stopped
        )
        fleet.start_node(hosts[0])

        async def recovered():
            return "E0352" in fleet.log("node-ledger-0")

        await waiting.until(recovered, "the records are recovered")

        async def all_stored():
            results = {key: await _post(others, key) for key in first}
            return all(
                result.outcome == "ran" and result.body == first[key].body
                for key, result in results.items()
            )

        await waiting.until(
            all_stored, "every repeated request gets its stored response"
        )
        assert sorted(await _executions(hosts, tmp_path)) == sorted(first)
        await fleet.kill("node-ledger-0")
        fleet.start_node(hosts[0])

        async def serves():
            from_others = await others.request("GET", "/ledger/1")
            restarted = caller.Caller(
                [hosts[0].caller_address], samples.NATIONAL_KEY
            )
            from_restarted = await restarted.request("GET", "/ledger/1")
            return from_others.status == from_restarted.status == 200

        await waiting.until(serves, "the killed node serves again")
        unknown = 0
        for key in first:
            result = await _post(others, key)
            assert result.outcome.split(";")[0] in ("ran", "unknown")
            unknown += result.outcome.startswith("unknown")
        assert unknown > 0
        assert sorted(await _executions(hosts, tmp_path)) == sorted(first)
    finally:
        await client.close()
        await others.close()
        await fleet.close()
