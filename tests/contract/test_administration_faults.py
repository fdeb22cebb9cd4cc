"""The administration API under races, disconnects and store faults."""

import functools

import h11
import pytest
import trio

from common import administration
from common import waiting
from sassafras_standins.store import faults
from sassafras_wire.store import configuration_writer

pytestmark = pytest.mark.loopback


async def test_any_node_serves_requests_for_the_whole_fleet(tmp_path):
    """Guards against routes that only work on one particular node."""
    async with (
        administration.site(tmp_path / "a") as first,
        administration.site(tmp_path / "b", peer_site=first) as second,
    ):
        await first.apply()
        await second.announce(administration.TARGET)

        async def known():
            listed = await first.request("GET", "/targets")
            return [t["node_id"] for t in listed.json["targets"]]

        assert await waiting.until(known, "the other node's target") == [
            second.runtime.table.own_id
        ]

        async def both_active():
            nodes = (await first.request("GET", "/nodes")).json["nodes"]
            return [node.get("revision") for node in nodes] == [1, 1]

        await waiting.until(both_active, "both nodes report revision 1")
        token = second.runtime.contexts.open(None)
        stopped = await first.request(
            "POST", "/targets/stop", {"address": administration.TARGET}
        )
        assert stopped.status == 200

        async def leaving():
            progress = await first.request(
                "GET", f"/targets/drain?address={administration.TARGET}"
            )
            return progress.json["state"] == "leaving" and progress.json

        progress = await waiting.until(leaving, "the target is leaving")
        assert progress["calls_in_flight"] == 1
        second.runtime.contexts.close(token)
        assert (await leaving())["drained"] is True


async def test_of_concurrent_changes_all_but_one_are_conflicts(tmp_path):
    """Guards against accepting two changes of the same revision."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        responses = []

        async def apply(burst):
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {burst}"
            )
            responses.append(await site.apply(text, 1))

        async with trio.open_nursery() as nursery:
            for burst in (30, 40, 50):
                nursery.start_soon(apply, burst)
        assert sorted(response.status for response in responses) == [
            200,
            409,
            409,
        ]
        stored = site.stored(administration.CONFIG_KEY)[
            administration.CONFIG_KEY
        ]
        (written,) = [a.json for a in responses if a.status == 200]
        assert stored["revision"] == 2
        assert stored["organisations"][1]["burst"] == float(
            written["differences"][0]["after"]
        )


async def test_keys_granted_concurrently_are_all_active(tmp_path):
    """Guards against a key lost to a concurrent change."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        keys = []

        async def grant(label):
            response = await site.request(
                "POST",
                "/keys/grant",
                {"organisation": "cooperative", "label": label},
            )
            keys.append(response.json["key"])

        async with trio.open_nursery() as nursery:
            for label in ("first", "second"):
                nursery.start_soon(grant, label)
        index = site.runtime.configuration.index
        found = {index.find_organisation(key).name for key in keys}
        assert (len(keys), found) == (2, {"cooperative"})


async def test_a_change_is_finished_when_its_operator_disconnects(tmp_path):
    """Guards against audit records without an outcome."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        site.store.faults.mode = faults.Mode.SLOW
        site.store.faults.delay_s = 0.05
        with trio.move_on_after(0.1):
            await site.apply(administration.REVISED, 1)

        async def written():
            return administration.outcomes(site) == [("apply", "written")] * 2

        await waiting.until(written, "the change is complete")
        assert (
            site.stored(administration.CONFIG_KEY)[administration.CONFIG_KEY][
                "revision"
            ]
            == 2
        )


CHANGES = [
    (
        "/configuration/apply",
        {"questionnaire": administration.REVISED, "expected_revision": 2},
    ),
    ("/configuration/rollforward", {"revision": 1, "expected_revision": 2}),
    ("/keys/grant", {"organisation": "cooperative", "label": "spare"}),
    ("/keys/withdraw", {"organisation": "cooperative", "label": "main"}),
    ("/targets/stop", {"address": administration.TARGET}),
    ("/nodes/forget", {"node_id": "10.9.9.9:1"}),
]


async def test_while_the_store_is_down_no_change_is_stored(tmp_path):
    """Guards against a change that is reported as done but is not stored."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        before = site.changes()
        site.store.faults.mode = faults.Mode.DOWN
        for path, body in CHANGES:
            response = await site.request("POST", path, body)
            assert response.status == 503, (path, response.text)
            assert response.json["outcome"] == "not stored"
            assert "not stored" in response.json["problem"]
        for path in ("/audit", "/configuration/history"):
            response = await site.request("GET", path)
            assert (response.status, response.json["peer"]) == (503, "store")
        for path in ("/configuration", "/keys", "/targets", "/status"):
            assert (await site.request("GET", path)).status == 200
        assert site.changes() == before
        assert site.runtime.configuration.revision == 2


async def test_a_lost_response_is_resolved_by_reading_back(tmp_path):
    """Guards against a change that is made twice or reported as failed."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        for lost in range(1, 4):
            site.store.faults.lose_next = lost
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {20 + lost}"
            )
            response = await site.apply(text, 1 + lost)
            assert (response.status, response.json["revision"]) == (
                200,
                2 + lost,
            )
        assert administration.outcomes(site)[2:] == [("apply", "written")] * 3


async def test_a_change_that_cannot_be_resolved_is_reported_as_unknown(
    tmp_path, monkeypatch
):
    """Guards against an unresolved write that is reported as failed."""
    writer = configuration_writer.ConfigurationWriter
    short_timeout = functools.partialmethod(
        writer.__init__, resolve_timeout_s=0.0
    )
    monkeypatch.setattr(writer, "__init__", short_timeout)
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        site.store.faults.mode = faults.Mode.LOSE_ANSWERS
        response = await site.apply(administration.REVISED, 2)
        assert response.status == 504
        assert response.json["outcome"] == "unknown"
        assert response.json["revision"] == 3
        assert "history" in response.json["advice"]
        assert administration.outcomes(site)[-1] == ("apply", "unknown")
        # In this case the write took effect; the advice covers that.
        assert (
            site.stored(administration.CONFIG_KEY)[administration.CONFIG_KEY][
                "revision"
            ]
            == 3
        )


@pytest.mark.parametrize("takes_effect", [False, True])
async def test_a_response_is_correct_wherever_the_store_fails(
    tmp_path, monkeypatch, takes_effect
):
    """Guards against a wrong outcome and a change without an audit record.

    The store fails at the first, second, third ... call of a change and stays
    down. The call at which it fails may still take effect.
    """
    writer = configuration_writer.ConfigurationWriter
    short_timeout = functools.partialmethod(
        writer.__init__, resolve_timeout_s=0.6
    )
    monkeypatch.setattr(writer, "__init__", short_timeout)
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        original_call = site.store._call
        observed = set()
        for fails_at in range(1, 11):
            stored = site.stored(administration.CONFIG_KEY)[
                administration.CONFIG_KEY
            ]
            calls = 0

            def call(path, body, fails_at=fails_at):
                nonlocal calls
                calls += 1
                if calls < fails_at:
                    return original_call(path, body)
                if calls == fails_at and takes_effect:
                    original_call(path, body)
                raise h11.RemoteProtocolError("the store has failed")

            monkeypatch.setattr(site.store, "_call", call)
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {30 + fails_at}"
            )
            response = await site.apply(
                text, stored["revision"], note=f"failure {fails_at}"
            )
            monkeypatch.setattr(site.store, "_call", original_call)
            after = site.stored(administration.CONFIG_KEY)[
                administration.CONFIG_KEY
            ]
            is_changed = after["revision"] != stored["revision"]
            observed.add((response.status, is_changed))
            assert response.status in (200, 503, 504), response.text
            assert response.status != 200 or is_changed
            assert response.status != 503 or not is_changed
            if is_changed:
                assert after["revision"] == stored["revision"] + 1
                (record,) = [
                    record
                    for record in site.stored(administration.AUDIT).values()
                    if record["note"] == f"failure {fails_at}"
                ]
                assert record["operator"] == "carl"
                assert record["revision"] == after["revision"]
                assert record["outcome"] != "not stored"
                assert str(stored["revision"]) in {
                    key.removeprefix(administration.HISTORY)
                    for key in site.stored(administration.HISTORY)
                }
        assert (503, False) in observed
        assert {True, False} == {is_changed for _, is_changed in observed}
