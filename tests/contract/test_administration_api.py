"""The administration API: each route, its faults and what it leaves behind."""

import functools
import json

import h11
import pytest
import trio

from common import administration
from common import waiting
from sassafras_node.admin import routing
from sassafras_node.admin import supervisor as admin_supervisor
from sassafras_node.store import audit
from sassafras_node.store import history
from sassafras_standins.store import faults
from sassafras_wire.store import configuration_writer

pytestmark = pytest.mark.loopback

CONFIG_KEY = "/sassafras/config"
HISTORY = "/sassafras/history/"
AUDIT = "/sassafras/audit/"
TARGET = "127.0.0.1:9999"

# Each row: method, path, body of a valid request, role needed.
ROUTES = [
    ("GET", "/health", None, None),
    ("GET", "/configuration", None, "read"),
    (
        "POST",
        "/configuration/plan",
        {"questionnaire": administration.QUESTIONNAIRE},
        "read",
    ),
    (
        "POST",
        "/configuration/apply",
        {
            "questionnaire": administration.REVISED,
            "expected_revision": 1,
            "note": "more for the national bank",
        },
        "change",
    ),
    ("GET", "/configuration/history", None, "read"),
    (
        "POST",
        "/configuration/rollforward",
        {"revision": 1, "expected_revision": 1},
        "change",
    ),
    ("GET", "/report", None, "read"),
    ("GET", "/report?format=html", None, "read"),
    ("GET", "/metrics", None, "read"),
    ("GET", "/keys", None, "read"),
    (
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "spare"},
        "change",
    ),
    (
        "POST",
        "/keys/withdraw",
        {"organisation": "cooperative", "label": "main"},
        "change",
    ),
    ("GET", "/targets", None, "read"),
    ("GET", f"/targets/drain?address={TARGET}", None, "read"),
    ("POST", "/targets/stop", {"address": TARGET}, "change"),
    ("POST", "/targets/start", {"address": TARGET}, "change"),
    ("GET", "/nodes", None, "read"),
    ("POST", "/nodes/forget", {"node_id": "10.9.9.9:1"}, "change"),
    ("GET", "/status", None, "read"),
    ("GET", "/audit", None, "read"),
]


async def prepare(site):
    """Applies a configuration, grants a key and announces a target."""
    assert (await site.apply()).status == 200
    granted = await site.request(
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "main"},
    )
    assert granted.status == 200
    await site.announce(TARGET)
    return granted.json["key"]


def outcomes(site):
    """Returns action and outcome of the audit records, in order."""
    records = sorted(site.stored(AUDIT).values(), key=lambda r: r["number"])
    return [(record["action"], record["outcome"]) for record in records]


def test_the_table_of_routes_is_complete():
    """Guards against a route that no contract test covers."""
    assert admin_supervisor.ROUTE_MODULES
    known = {f"{method} {path.split('?')[0]}" for method, path, *_ in ROUTES}
    assert known == set(routing.routes.names)


async def test_each_route_asks_for_its_role_and_never_for_a_callers_key(
    tmp_path,
):
    """Guards against access without, or with the wrong, credential."""
    async with administration.site(tmp_path) as site:
        key = await prepare(site)
        before = site.changes()
        for method, path, body, role in ROUTES:
            for credential, expected in (
                (None, 401),
                ("guess", 401),
                (key, 401),
                (administration.READER, 403),
            ):
                answer = await site.request(method, path, body, credential)
                if role is None:
                    assert answer.status == 200, path
                elif expected == 401 or role == "change":
                    assert answer.status == expected, path
                    assert answer.json["step"] == "admin.access"
                    assert answer.json["advice"]
                else:
                    assert answer.status in (200, 404), path
        assert site.changes() == before


async def test_without_operators_only_health_is_answered(tmp_path):
    """Guards against an open administration API by omission."""
    async with administration.site(tmp_path, with_operators=False) as site:
        for method, path, body, role in ROUTES:
            answer = await site.request(method, path, body)
            assert answer.status == (200 if role is None else 403), path


# Each row: method, path, body, status, and a text in the answer.
REFUSED_REQUESTS = [
    ("GET", "/nowhere", None, 404, "no route"),
    ("DELETE", "/keys", None, 405, "use GET"),
    ("POST", "/keys/grant", b"{not json", 400, "JSON"),
    ("POST", "/keys/grant", b"[1]", 400, "valid dictionary"),
    ("POST", "/keys/grant", {"organisation": "x"}, 400, "label"),
    (
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "a b"},
        400,
        "label",
    ),
    (
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "a", "colour": 1},
        400,
        "colour",
    ),
    (
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "main"},
        422,
        "already has a key",
    ),
    (
        "POST",
        "/keys/grant",
        {"organisation": "nobody", "label": "main"},
        404,
        "no organisation",
    ),
    (
        "POST",
        "/keys/withdraw",
        {"organisation": "cooperative", "label": "spare"},
        404,
        "no key",
    ),
    ("POST", "/configuration/plan", {}, 400, "either a questionnaire"),
    (
        "POST",
        "/configuration/plan",
        {"questionnaire": administration.FAULTY},
        400,
        "rate_per_s",
    ),
    (
        "POST",
        "/configuration/apply",
        {"questionnaire": administration.FAULTY, "expected_revision": 2},
        400,
        "lodgement, status",
    ),
    (
        "POST",
        "/configuration/apply",
        {"questionnaire": administration.REVISED},
        400,
        "expected_revision",
    ),
    (
        "POST",
        "/configuration/apply",
        {"document": {"clases": ["a"]}, "expected_revision": 2},
        400,
        "clases",
    ),
    (
        "POST",
        "/configuration/apply",
        {
            "document": {
                "services": [{"name": "desk", "calls": ["vault"]}],
            },
            "expected_revision": 2,
        },
        400,
        "vault",
    ),
    (
        "POST",
        "/configuration/apply",
        {
            "document": {
                "services": [{"name": "desk"}],
                "organisations": [
                    {
                        "name": "cooperative",
                        "rate_per_s": 1,
                        "burst": 1,
                        "keys": [{"label": "mine", "digest": "0" * 64}],
                    }
                ],
            },
            "expected_revision": 2,
        },
        400,
        "requests of their own",
    ),
    (
        "POST",
        "/configuration/rollforward",
        {"revision": 77, "expected_revision": 2},
        404,
        "revision 77",
    ),
    ("GET", "/configuration/history?revision=77", None, 404, "revision 77"),
    ("GET", "/configuration/history?revision=x", None, 400, "revision"),
    ("POST", "/targets/stop", {"address": "10.0.0.1"}, 400, "host:port"),
    ("POST", "/targets/stop", {"address": "10.0.0.1:5"}, 404, "no target"),
    ("POST", "/targets/start", {"address": "10.0.0.1:5"}, 404, "no target"),
    ("GET", "/targets/drain?address=10.0.0.1:5", None, 404, "no target"),
    ("GET", "/targets/drain", None, 400, "address"),
    ("GET", "/audit?limit=0", None, 400, "limit"),
    ("GET", "/audit?limit=1001", None, 400, "limit"),
    ("POST", "/keys/grant", b" " * 1_100_000, 413, "over 1048576 bytes"),
]


async def test_refused_requests_say_why_and_change_nothing(tmp_path):
    """Guards against bad input that has an effect or no explanation."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        before = site.changes()
        for method, path, body, status, text in REFUSED_REQUESTS:
            answer = await site.request(method, path, body)
            assert answer.status == status, (path, answer.text)
            assert text in answer.text, (path, answer.text)
            for field in ("step", "peer", "problem", "advice"):
                assert answer.json[field], (path, field)
        assert site.changes() == before


async def test_every_fault_of_a_questionnaire_is_in_the_answer(tmp_path):
    """Guards against faults that an operator finds one at a time."""
    async with administration.site(tmp_path) as site:
        answer = await site.apply(administration.FAULTY)
        assert answer.status == 400
        assert [(f["section"], f["key"]) for f in answer.json["faults"]] == [
            ("organisation national-bank", "rate_per_s"),
            ("route status", "class"),
        ]


async def test_a_plan_shows_the_difference_and_changes_nothing(tmp_path):
    """Guards against a plan that writes or that hides a change."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        before = site.changes()
        answer = await site.request(
            "POST",
            "/configuration/plan",
            {"questionnaire": administration.REVISED},
            administration.READER,
        )
        assert answer.json == {
            "revision": 2,
            "differences": [
                {
                    "subject": "organisation national-bank",
                    "action": "changed",
                    "field": "rate_per_s",
                    "before": "100",
                    "after": "200",
                }
            ],
        }
        assert site.changes() == before


async def test_an_applied_content_is_in_force_recorded_and_kept(tmp_path):
    """Guards against a change without author, audit record or history."""
    async with administration.site(tmp_path) as site:
        first = await site.apply(note="first")
        assert (first.status, first.json["revision"]) == (200, 1)
        second = await site.apply(administration.REVISED, 1, note="more")
        assert second.json["outcome"] == "written"
        assert second.json["revision"] == 2
        stored = site.stored(CONFIG_KEY)[CONFIG_KEY]
        assert (stored["author"], stored["note"]) == ("carl", "more")
        assert site.runtime.configuration.revision == 2
        assert list(site.stored(HISTORY)) == [HISTORY + "1"]
        records = (await site.request("GET", "/audit")).json["records"]
        assert [
            (r["number"], r["operator"], r["action"], r["outcome"])
            for r in records
        ] == [(2, "carl", "apply", "written"), (1, "carl", "apply", "written")]
        assert records[0]["revision"] == 2
        assert records[0]["wall_time_s"] == administration.WALL_TIME_S


async def test_a_document_can_be_read_changed_and_applied(tmp_path):
    """Guards against a document form that does not survive the round trip."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        read = await site.request("GET", "/configuration")
        document = read.json["document"]
        document["organisations"][1]["burst"] = 30
        applied = await site.request(
            "POST",
            "/configuration/apply",
            {"document": document, "expected_revision": read.json["revision"]},
        )
        assert applied.status == 200, applied.text
        assert applied.json["differences"] == [
            {
                "subject": "organisation cooperative",
                "action": "changed",
                "field": "burst",
                "before": "20",
                "after": "30",
            }
        ]


async def test_a_conflict_is_409_with_the_difference(tmp_path):
    """Guards against the second of two operators undoing the first."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        await site.apply(administration.REVISED, 1)
        late = administration.QUESTIONNAIRE.replace("burst = 20", "burst = 25")
        answer = await site.apply(late, 1)
        assert answer.status == 409
        assert answer.json["outcome"] == "conflict"
        assert answer.json["revision"] == 2
        assert [d["field"] for d in answer.json["differences"]] == [
            "rate_per_s",
            "burst",
        ]
        assert site.runtime.configuration.revision == 2


async def test_the_same_content_again_is_unchanged(tmp_path):
    """Guards against a repeat after an unknown outcome that adds revisions."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        answer = await site.apply(expected=0)
        assert (answer.status, answer.json["outcome"]) == (200, "unchanged")
        assert site.stored(CONFIG_KEY)[CONFIG_KEY]["revision"] == 1


async def test_rolling_forward_keeps_keys_and_stopped_targets(tmp_path):
    """Guards against an earlier content that brings a withdrawn key back."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        await site.apply(administration.REVISED, 2)
        withdrawn = await site.request(
            "POST",
            "/keys/withdraw",
            {"organisation": "cooperative", "label": "main"},
        )
        assert withdrawn.json["revision"] == 4
        await site.request("POST", "/targets/stop", {"address": TARGET})
        answer = await site.request(
            "POST",
            "/configuration/rollforward",
            {"revision": 2, "expected_revision": 5},
        )
        assert (answer.status, answer.json["revision"]) == (200, 6)
        stored = site.stored(CONFIG_KEY)[CONFIG_KEY]
        assert stored["organisations"][0]["rate_per_s"] == 100
        assert stored["organisations"][1]["keys"] == []
        assert stored["stopped_targets"] == [TARGET]
        listed = await site.request("GET", "/configuration/history")
        revisions = [c["revision"] for c in listed.json["contents"]]
        assert revisions == [6, 5, 4, 3, 2, 1]
        one = await site.request("GET", "/configuration/history?revision=3")
        content = one.json["contents"][0]["document"]
        assert content["organisations"][0]["rate_per_s"] == 200


async def test_history_and_audit_are_bounded(tmp_path, monkeypatch):
    """Guards against sets of keys that grow with every change."""
    monkeypatch.setattr(history, "CONTENTS_KEPT", 2)
    monkeypatch.setattr(audit, "RECORDS_KEPT", 3)
    async with administration.site(tmp_path) as site:
        for expected in range(6):
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {20 + expected}"
            )
            assert (await site.apply(text, expected)).status == 200
        assert set(site.stored(HISTORY)) == {HISTORY + "4", HISTORY + "5"}
        assert {r["number"] for r in site.stored(AUDIT).values()} == {4, 5, 6}
        limited = await site.request("GET", "/audit?limit=2")
        numbers = [r["number"] for r in limited.json["records"]]
        assert numbers == [6, 5]


async def test_a_granted_key_is_shown_once_and_only_its_digest_is_stored(
    tmp_path,
):
    """Guards against a key that can be read after it was granted."""
    async with administration.site(tmp_path) as site:
        key = await prepare(site)
        index = site.runtime.configuration.index
        assert index.find_organisation(key).name == "cooperative"
        listed = await site.request("GET", "/keys")
        assert [
            (k["organisation"], k["label"]) for k in listed.json["keys"]
        ] == [("cooperative", "main")]
        everything = json.dumps(site.changes()) + listed.text
        assert key not in everything
        withdrawn = await site.request(
            "POST",
            "/keys/withdraw",
            {"organisation": "cooperative", "label": "main"},
        )
        assert withdrawn.json["revision"] == 3
        index = site.runtime.configuration.index
        assert index.find_organisation(key) is None


async def test_a_stopped_target_gets_no_work_and_drains(tmp_path):
    """Guards against new work for a target that an operator has stopped."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        assert site.runtime.target.is_serving
        stopped = await site.request(
            "POST", "/targets/stop", {"address": TARGET, "note": "repair"}
        )
        assert stopped.json["revision"] == 3
        assert not site.runtime.target.is_serving
        token = site.runtime.contexts.open(None)

        async def leaving():
            answer = await site.request(
                "GET", f"/targets/drain?address={TARGET}"
            )
            return answer.json["state"] == "leaving" and answer.json

        progress = await waiting.until(leaving, "the target is leaving")
        assert progress["calls_in_flight"] == 1
        assert progress["drained"] is False
        site.runtime.contexts.close(token)
        assert (await leaving())["drained"] is True
        listed = (await site.request("GET", "/targets")).json["targets"]
        assert [(t["address"], t["stopped"]) for t in listed] == [
            (TARGET, True)
        ]
        again = await site.request("POST", "/targets/stop", {"address": TARGET})
        assert again.json["outcome"] == "unchanged"
        started = await site.request(
            "POST", "/targets/start", {"address": TARGET}
        )
        assert started.json["revision"] == 4
        assert site.runtime.target.is_serving


async def test_nodes_show_incarnation_and_the_revision_in_force(tmp_path):
    """Guards against a list that does not show which nodes lag behind."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        answer = await site.request("GET", "/nodes")
        node = answer.json["nodes"][0]
        assert node["node_id"] == site.runtime.table.own_id
        assert node["incarnation"] == int(administration.WALL_TIME_S * 1000)
        assert (node["status"], node["revision"]) == ("alive", 2)


async def test_only_lost_members_of_the_roster_can_be_forgotten(tmp_path):
    """Guards against taking the share of a node that still runs."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        own_id = site.runtime.table.own_id

        async def is_member():
            return own_id in site.runtime.roster.current.node_ids

        await waiting.until(is_member, "the node joins the roster")
        alive = await site.request("POST", "/nodes/forget", {"node_id": own_id})
        assert (alive.status, "is alive" in alive.text) == (422, True)
        stranger = await site.request(
            "POST", "/nodes/forget", {"node_id": "10.9.9.9:1"}
        )
        assert stranger.status == 404
        assert outcomes(site)[-2:] == [
            ("nodes-forget", "refused"),
            ("nodes-forget", "refused"),
        ]


async def test_a_lost_member_of_the_roster_is_forgotten_once(tmp_path):
    """Guards against a lost node whose share nobody can ever use again."""
    lost = "10.9.9.9:7401"
    async with administration.site(tmp_path) as site:
        await prepare(site)

        async def is_member():
            return site.runtime.table.own_id in (
                site.runtime.roster.current.node_ids
            )

        await waiting.until(is_member, "the node joins the roster")
        roster = site.runtime.roster.current
        content = {
            "epoch": roster.epoch + 1,
            "members": [
                {"node_id": node_id, "service": "desk"}
                for node_id in sorted([*roster.node_ids, lost])
            ],
        }
        key = b"/sassafras/roster"
        assert site.store.data.put_if(
            key,
            json.dumps(content).encode(),
            site.store.data.entries[key].mod_revision,
            0,
        )
        first = await site.request("POST", "/nodes/forget", {"node_id": lost})
        assert (first.status, first.json["outcome"]) == (200, "written")
        assert first.json["revision"] == roster.epoch + 2
        assert lost not in site.runtime.roster.current.node_ids
        again = await site.request("POST", "/nodes/forget", {"node_id": lost})
        assert (again.status, again.json["outcome"]) == (200, "unchanged")
        assert outcomes(site)[-2:] == [
            ("nodes-forget", "written"),
            ("nodes-forget", "unchanged"),
        ]


async def test_any_node_speaks_for_the_whole_fleet(tmp_path):
    """Guards against an operator who has to find the right node first."""
    async with (
        administration.site(tmp_path / "a") as here,
        administration.site(tmp_path / "b", beside=here) as there,
    ):
        await here.apply()
        await there.announce(TARGET)

        async def known():
            listed = await here.request("GET", "/targets")
            return [t["node_id"] for t in listed.json["targets"]]

        assert await waiting.until(known, "the other node's target") == [
            there.runtime.table.own_id
        ]

        async def in_force():
            nodes = (await here.request("GET", "/nodes")).json["nodes"]
            return [node.get("revision") for node in nodes] == [1, 1]

        await waiting.until(in_force, "both nodes report revision 1")
        token = there.runtime.contexts.open(None)
        stopped = await here.request(
            "POST", "/targets/stop", {"address": TARGET}
        )
        assert stopped.status == 200

        async def leaving():
            progress = await here.request(
                "GET", f"/targets/drain?address={TARGET}"
            )
            return progress.json["state"] == "leaving" and progress.json

        progress = await waiting.until(leaving, "the target is leaving")
        assert progress["calls_in_flight"] == 1
        there.runtime.contexts.close(token)
        assert (await leaving())["drained"] is True


async def test_of_two_operators_at_once_one_is_told_of_a_conflict(tmp_path):
    """Guards against two changes of one revision that are both accepted."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        answers = []

        async def apply(burst):
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {burst}"
            )
            answers.append(await site.apply(text, 1))

        async with trio.open_nursery() as nursery:
            for burst in (30, 40, 50):
                nursery.start_soon(apply, burst)
        assert sorted(answer.status for answer in answers) == [200, 409, 409]
        stored = site.stored(CONFIG_KEY)[CONFIG_KEY]
        (written,) = [a.json for a in answers if a.status == 200]
        assert stored["revision"] == 2
        assert stored["organisations"][1]["burst"] == float(
            written["differences"][0]["after"]
        )


async def test_keys_granted_at_once_are_all_in_force(tmp_path):
    """Guards against a key lost to another operator's change."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        keys = []

        async def grant(label):
            answer = await site.request(
                "POST",
                "/keys/grant",
                {"organisation": "cooperative", "label": label},
            )
            keys.append(answer.json["key"])

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
            return outcomes(site) == [("apply", "written")] * 2

        await waiting.until(written, "the change is complete")
        assert site.stored(CONFIG_KEY)[CONFIG_KEY]["revision"] == 2


async def test_status_shows_the_node_its_target_and_the_limits(tmp_path):
    """Guards against a status that leaves out what operators look for."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        status = (await site.request("GET", "/status")).json
        assert status["revision"] == 2
        assert status["target"]["address"] == TARGET
        assert status["limits"][0] == {
            "organisation": "national-bank",
            "rate_per_s": 100.0,
            "burst": 50.0,
        }
        assert status["refusals"] == {}
        assert status["target_limit"] >= 1
        assert status["open_level"] == 256
        assert status["levels"] == {"desk": 256}
        # Heard in the future, the level does not decay during the test.
        later = site.runtime.clock.now() + 3600.0
        site.runtime.heard_levels.heard("desk", 100, later)
        await site.runtime.target.withdraw()
        status = (await site.request("GET", "/status")).json
        assert status["levels"] == {"desk": 100}


CHANGES = [
    (
        "/configuration/apply",
        {"questionnaire": administration.REVISED, "expected_revision": 2},
    ),
    ("/configuration/rollforward", {"revision": 1, "expected_revision": 2}),
    ("/keys/grant", {"organisation": "cooperative", "label": "spare"}),
    ("/keys/withdraw", {"organisation": "cooperative", "label": "main"}),
    ("/targets/stop", {"address": TARGET}),
    ("/nodes/forget", {"node_id": "10.9.9.9:1"}),
]


async def test_while_the_store_is_down_no_change_is_stored(tmp_path):
    """Guards against a change that is reported as done but is not stored."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        before = site.changes()
        site.store.faults.mode = faults.Mode.DOWN
        for path, body in CHANGES:
            answer = await site.request("POST", path, body)
            assert answer.status == 503, (path, answer.text)
            assert answer.json["outcome"] == "not stored"
            assert "not stored" in answer.json["problem"]
        for path in ("/audit", "/configuration/history"):
            answer = await site.request("GET", path)
            assert (answer.status, answer.json["peer"]) == (503, "store")
        for path in ("/configuration", "/keys", "/targets", "/status"):
            assert (await site.request("GET", path)).status == 200
        assert site.changes() == before
        assert site.runtime.configuration.revision == 2


async def test_a_lost_answer_is_resolved_by_reading_back(tmp_path):
    """Guards against a change that is made twice or reported as failed."""
    async with administration.site(tmp_path) as site:
        await prepare(site)
        for lost in range(1, 4):
            site.store.faults.lose_next = lost
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {20 + lost}"
            )
            answer = await site.apply(text, 1 + lost)
            assert (answer.status, answer.json["revision"]) == (200, 2 + lost)
        assert outcomes(site)[2:] == [("apply", "written")] * 3


async def test_a_change_that_cannot_be_resolved_is_said_to_be_unknown(
    tmp_path, monkeypatch
):
    """Guards against an unresolved write that is reported as failed."""
    writer = configuration_writer.ConfigurationWriter
    impatient = functools.partialmethod(writer.__init__, resolve_timeout_s=0.0)
    monkeypatch.setattr(writer, "__init__", impatient)
    async with administration.site(tmp_path) as site:
        await prepare(site)
        site.store.faults.mode = faults.Mode.LOSE_ANSWERS
        answer = await site.apply(administration.REVISED, 2)
        assert answer.status == 504
        assert answer.json["outcome"] == "unknown"
        assert answer.json["revision"] == 3
        assert "history" in answer.json["advice"]
        assert outcomes(site)[-1] == ("apply", "unknown")
        # In this case the write did take effect, as the advice allows for.
        assert site.stored(CONFIG_KEY)[CONFIG_KEY]["revision"] == 3


@pytest.mark.parametrize("takes_effect", [False, True])
async def test_an_answer_is_true_wherever_the_store_fails(
    tmp_path, monkeypatch, takes_effect
):
    """Guards against a false report and a change without an audit record.

    The store fails at the first, second, third ... call of a change and stays
    down. The call at which it fails may still take effect.
    """
    writer = configuration_writer.ConfigurationWriter
    impatient = functools.partialmethod(writer.__init__, resolve_timeout_s=0.6)
    monkeypatch.setattr(writer, "__init__", impatient)
    async with administration.site(tmp_path) as site:
        await prepare(site)
        carry_out = site.store._call
        seen = set()
        for fails_at in range(1, 11):
            stored = site.stored(CONFIG_KEY)[CONFIG_KEY]
            calls = 0

            def call(path, body, fails_at=fails_at):
                nonlocal calls
                calls += 1
                if calls < fails_at:
                    return carry_out(path, body)
                if calls == fails_at and takes_effect:
                    carry_out(path, body)
                raise h11.RemoteProtocolError("the store has failed")

            monkeypatch.setattr(site.store, "_call", call)
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {30 + fails_at}"
            )
            answer = await site.apply(
                text, stored["revision"], note=f"failure {fails_at}"
            )
            monkeypatch.setattr(site.store, "_call", carry_out)
            after = site.stored(CONFIG_KEY)[CONFIG_KEY]
            is_changed = after["revision"] != stored["revision"]
            seen.add((answer.status, is_changed))
            assert answer.status in (200, 503, 504), answer.text
            assert answer.status != 200 or is_changed
            assert answer.status != 503 or not is_changed
            if is_changed:
                assert after["revision"] == stored["revision"] + 1
                (record,) = [
                    record
                    for record in site.stored(AUDIT).values()
                    if record["note"] == f"failure {fails_at}"
                ]
                assert record["operator"] == "carl"
                assert record["revision"] == after["revision"]
                assert record["outcome"] != "not stored"
                assert str(stored["revision"]) in {
                    key.removeprefix(HISTORY) for key in site.stored(HISTORY)
                }
        assert (503, False) in seen
        assert {True, False} == {is_changed for _, is_changed in seen}
