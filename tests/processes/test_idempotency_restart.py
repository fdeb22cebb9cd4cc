"""Keys across a planned restart and a crash of their home, as processes."""

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


async def _runs(places, tmp_path):
    runs = []
    for place in places:
        path = tmp_path / place.name
        if path.exists():
            runs += path.read_text().split()
    return [run for run in runs if run.startswith("key")]


async def test_keys_survive_a_planned_restart_and_are_unknown_after_a_crash(
    tmp_path,
):
    """Guards against a second run, and against needless unknown outcomes."""
    places = [
        launcher.make_place(
            f"ledger-{number}",
            "zone-a",
            service="ledger",
            journal=str(tmp_path / f"ledger-{number}"),
        )
        for number in range(3)
    ]
    fleet = launcher.Fleet(places)
    client = caller.Caller(
        [place.caller_address for place in places], samples.NATIONAL_KEY
    )
    # Asks the nodes that are not restarted.
    others = caller.Caller(
        [place.caller_address for place in places[1:]], samples.NATIONAL_KEY
    )
    try:
        await fleet.start(samples.document())

        async def ready():
            answers = [await _post(client, f"ready {n}") for n in range(30)]
            return all(answer.status == 200 for answer in answers)

        await waiting.until(ready, "every node finds every home")
        first = {}
        for number in range(_KEYS):
            key = f"key-{number}"
            first[key] = await _post(client, key)
            assert first[key].status == 200
        assert await fleet.stop("node-ledger-0") == 0
        assert "E0350" in fleet.log("node-ledger-0")
        away = [await _post(others, key) for key in first]
        assert any("home-unavailable" in answer.outcome for answer in away)
        fleet.start_node(places[0])

        async def recovered():
            return "E0352" in fleet.log("node-ledger-0")

        await waiting.until(recovered, "the records come back")

        async def all_stored():
            answers = {key: await _post(others, key) for key in first}
            return all(
                answer.outcome == "ran" and answer.body == first[key].body
                for key, answer in answers.items()
            )

        await waiting.until(all_stored, "every repeat gets its answer")
        assert sorted(await _runs(places, tmp_path)) == sorted(first)
        await fleet.kill("node-ledger-0")
        fleet.start_node(places[0])

        async def serves():
            answer = await others.request("GET", "/ledger/1")
            direct = caller.Caller(
                [places[0].caller_address], samples.NATIONAL_KEY
            )
            own = await direct.request("GET", "/ledger/1")
            return answer.status == own.status == 200

        await waiting.until(serves, "the killed node serves again")
        unknown = 0
        for key in first:
            answer = await _post(others, key)
            assert answer.outcome.split(";")[0] in ("ran", "unknown")
            unknown += answer.outcome.startswith("unknown")
        assert unknown > 0
        assert sorted(await _runs(places, tmp_path)) == sorted(first)
    finally:
        await client.close()
        await others.close()
        await fleet.close()
