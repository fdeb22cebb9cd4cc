"""The routes of the administration API: responses, refusals, stored data."""

import json

import pytest

from common import administration
from common import waiting
from sassafras_node.admin import routing
from sassafras_node.admin import supervisor as admin_supervisor
from sassafras_node.store import audit
from sassafras_node.store import history

pytestmark = pytest.mark.loopback


# Each row: method, path, body of a valid request, required role.
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
    ("GET", f"/targets/drain?address={administration.TARGET}", None, "read"),
    ("POST", "/targets/stop", {"address": administration.TARGET}, "change"),
    ("POST", "/targets/start", {"address": administration.TARGET}, "change"),
    ("GET", "/nodes", None, "read"),
    ("POST", "/nodes/forget", {"node_id": "10.9.9.9:1"}, "change"),
    ("GET", "/status", None, "read"),
    ("GET", "/audit", None, "read"),
]


def test_the_table_of_routes_is_complete():
    """Guards against a route that no contract test covers."""
    assert admin_supervisor.ROUTE_MODULES
    known = {f"{method} {path.split('?')[0]}" for method, path, *_ in ROUTES}
    assert known == set(routing.routes.names)


async def test_each_route_requires_its_role_and_rejects_callers_keys(
    tmp_path,
):
    """Guards against access with a missing or wrong credential."""
    async with administration.site(tmp_path) as site:
        key = await administration.prepare(site)
        before = site.changes()
        for method, path, body, role in ROUTES:
            for credential, expected in (
                (None, 401),
                ("guess", 401),
                (key, 401),
                (administration.READER, 403),
            ):
                response = await site.request(method, path, body, credential)
                if role is None:
                    assert response.status == 200, path
                elif expected == 401 or role == "change":
                    assert response.status == expected, path
                    assert response.json["step"] == "admin.access"
                    assert response.json["advice"]
                else:
                    assert response.status in (200, 404), path
        assert site.changes() == before


async def test_without_operators_only_health_is_answered(tmp_path):
    """Guards against an open administration API on a node without operators."""
    async with administration.site(tmp_path, with_operators=False) as site:
        for method, path, body, role in ROUTES:
            response = await site.request(method, path, body)
            assert response.status == (200 if role is None else 403), path


# Each row: method, path, body, status, and a text in the response.
REFUSED_REQUESTS = [
    ("GET", "/report?format=pdf", None, 400, "html, json, text"),
    ("GET", "/report?form=text", None, 400, "form"),
    ("GET", "/metrics?x=1", None, 400, "x"),
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


async def test_refused_requests_name_the_fault_and_change_nothing(tmp_path):
    """Guards against invalid input that is stored or not explained."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        before = site.changes()
        for method, path, body, status, text in REFUSED_REQUESTS:
            response = await site.request(method, path, body)
            assert response.status == status, (path, response.text)
            assert text in response.text, (path, response.text)
            for field in ("step", "peer", "problem", "advice"):
                assert response.json[field], (path, field)
        assert site.changes() == before


async def test_every_fault_of_a_questionnaire_is_in_the_response(tmp_path):
    """Guards against faults that are reported one at a time."""
    async with administration.site(tmp_path) as site:
        response = await site.apply(administration.FAULTY)
        assert response.status == 400
        assert [(f["section"], f["key"]) for f in response.json["faults"]] == [
            ("organisation national-bank", "rate_per_s"),
            ("route status", "class"),
        ]


async def test_a_plan_shows_the_difference_and_changes_nothing(tmp_path):
    """Guards against a plan that writes or that hides a change."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        before = site.changes()
        response = await site.request(
            "POST",
            "/configuration/plan",
            {"questionnaire": administration.REVISED},
            administration.READER,
        )
        assert response.json == {
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


async def test_an_applied_content_is_active_audited_and_in_the_history(
    tmp_path,
):
    """Guards against a change without author, audit record or history."""
    async with administration.site(tmp_path) as site:
        first = await site.apply(note="first")
        assert (first.status, first.json["revision"]) == (200, 1)
        second = await site.apply(administration.REVISED, 1, note="more")
        assert second.json["outcome"] == "written"
        assert second.json["revision"] == 2
        stored = site.stored(administration.CONFIG_KEY)[
            administration.CONFIG_KEY
        ]
        assert (stored["author"], stored["note"]) == ("carl", "more")
        assert site.runtime.configuration.revision == 2
        assert list(site.stored(administration.HISTORY)) == [
            administration.HISTORY + "1"
        ]
        records = (await site.request("GET", "/audit")).json["records"]
        assert [
            (r["number"], r["operator"], r["action"], r["outcome"])
            for r in records
        ] == [(2, "carl", "apply", "written"), (1, "carl", "apply", "written")]
        assert records[0]["revision"] == 2
        assert records[0]["wall_time_s"] == administration.WALL_TIME_S


async def test_a_document_can_be_read_changed_and_applied(tmp_path):
    """Guards against a document that is not accepted as it was returned."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
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
    """Guards against an operator overwriting the change of another."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        await site.apply(administration.REVISED, 1)
        late = administration.QUESTIONNAIRE.replace("burst = 20", "burst = 25")
        response = await site.apply(late, 1)
        assert response.status == 409
        assert response.json["outcome"] == "conflict"
        assert response.json["revision"] == 2
        assert [d["field"] for d in response.json["differences"]] == [
            "rate_per_s",
            "burst",
        ]
        assert site.runtime.configuration.revision == 2


async def test_the_same_content_again_is_unchanged(tmp_path):
    """Guards against new revisions by a retry after an unknown outcome."""
    async with administration.site(tmp_path) as site:
        await site.apply()
        response = await site.apply(expected=0)
        assert (response.status, response.json["outcome"]) == (200, "unchanged")
        assert (
            site.stored(administration.CONFIG_KEY)[administration.CONFIG_KEY][
                "revision"
            ]
            == 1
        )


async def test_rolling_forward_keeps_keys_and_stopped_targets(tmp_path):
    """Guards against an earlier content that restores a withdrawn key."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        await site.apply(administration.REVISED, 2)
        withdrawn = await site.request(
            "POST",
            "/keys/withdraw",
            {"organisation": "cooperative", "label": "main"},
        )
        assert withdrawn.json["revision"] == 4
        await site.request(
            "POST", "/targets/stop", {"address": administration.TARGET}
        )
        response = await site.request(
            "POST",
            "/configuration/rollforward",
            {"revision": 2, "expected_revision": 5},
        )
        assert (response.status, response.json["revision"]) == (200, 6)
        stored = site.stored(administration.CONFIG_KEY)[
            administration.CONFIG_KEY
        ]
        assert stored["organisations"][0]["rate_per_s"] == 100
        assert stored["organisations"][1]["keys"] == []
        assert stored["stopped_targets"] == [administration.TARGET]
        listed = await site.request("GET", "/configuration/history")
        revisions = [c["revision"] for c in listed.json["contents"]]
        assert revisions == [6, 5, 4, 3, 2, 1]
        one = await site.request("GET", "/configuration/history?revision=3")
        content = one.json["contents"][0]["document"]
        assert content["organisations"][0]["rate_per_s"] == 200


async def test_history_and_audit_are_bounded(tmp_path, monkeypatch):
    """Guards against store entries that grow with every change."""
    monkeypatch.setattr(history, "MAX_CONTENTS", 2)
    monkeypatch.setattr(audit, "MAX_RECORDS", 3)
    async with administration.site(tmp_path) as site:
        for expected in range(6):
            text = administration.QUESTIONNAIRE.replace(
                "burst = 20", f"burst = {20 + expected}"
            )
            assert (await site.apply(text, expected)).status == 200
        assert set(site.stored(administration.HISTORY)) == {
            administration.HISTORY + "4",
            administration.HISTORY + "5",
        }
        assert {
            r["number"] for r in site.stored(administration.AUDIT).values()
        } == {4, 5, 6}
        limited = await site.request("GET", "/audit?limit=2")
        numbers = [r["number"] for r in limited.json["records"]]
        assert numbers == [6, 5]


async def test_a_granted_key_is_shown_once_and_only_its_digest_is_stored(
    tmp_path,
):
    """Guards against a key that can be read again after the grant."""
    async with administration.site(tmp_path) as site:
        key = await administration.prepare(site)
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
        await administration.prepare(site)
        assert site.runtime.target.is_serving
        stopped = await site.request(
            "POST",
            "/targets/stop",
            {"address": administration.TARGET, "note": "repair"},
        )
        assert stopped.json["revision"] == 3
        assert not site.runtime.target.is_serving
        token = site.runtime.contexts.open(None)

        async def leaving():
            response = await site.request(
                "GET", f"/targets/drain?address={administration.TARGET}"
            )
            return response.json["state"] == "leaving" and response.json

        progress = await waiting.until(leaving, "the target is leaving")
        assert progress["calls_in_flight"] == 1
        assert progress["drained"] is False
        site.runtime.contexts.close(token)
        assert (await leaving())["drained"] is True
        listed = (await site.request("GET", "/targets")).json["targets"]
        assert [(t["address"], t["stopped"]) for t in listed] == [
            (administration.TARGET, True)
        ]
        again = await site.request(
            "POST", "/targets/stop", {"address": administration.TARGET}
        )
        assert again.json["outcome"] == "unchanged"
        started = await site.request(
            "POST", "/targets/start", {"address": administration.TARGET}
        )
        assert started.json["revision"] == 4
        assert site.runtime.target.is_serving


async def test_nodes_show_incarnation_and_active_revision(tmp_path):
    """Guards against a list that does not show which nodes lag behind."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        response = await site.request("GET", "/nodes")
        node = response.json["nodes"][0]
        assert node["node_id"] == site.runtime.table.own_id
        assert node["incarnation"] == int(administration.WALL_TIME_S * 1000)
        assert (node["status"], node["revision"]) == ("alive", 2)


async def test_only_lost_members_of_the_roster_can_be_forgotten(tmp_path):
    """Guards against removing a running node, whose rate share is in use."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        own_id = site.runtime.table.own_id

        async def is_member():
            return own_id in site.runtime.roster.current.node_ids

        await waiting.until(is_member, "the node joins the roster")
        alive = await site.request("POST", "/nodes/forget", {"node_id": own_id})
        assert (alive.status, "is alive" in alive.text) == (422, True)
        unknown = await site.request(
            "POST", "/nodes/forget", {"node_id": "10.9.9.9:1"}
        )
        assert unknown.status == 404
        assert administration.outcomes(site)[-2:] == [
            ("nodes-forget", "refused"),
            ("nodes-forget", "refused"),
        ]


async def test_a_lost_member_of_the_roster_is_forgotten_once(tmp_path):
    """Guards against a lost node whose rate share stays reserved for ever."""
    lost = "10.9.9.9:7401"
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)

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
        assert administration.outcomes(site)[-2:] == [
            ("nodes-forget", "written"),
            ("nodes-forget", "unchanged"),
        ]


async def test_status_shows_the_node_its_target_and_the_limits(tmp_path):
    """Guards against a status without the target, limits or levels."""
    async with administration.site(tmp_path) as site:
        await administration.prepare(site)
        status = (await site.request("GET", "/status")).json
        assert status["revision"] == 2
        assert status["peers"] == 0
        assert status["target"]["address"] == administration.TARGET
        limit = status["limits"][0]
        assert limit["organisation"] == "national-bank"
        assert (limit["rate_per_s"], limit["burst"]) == (100.0, 50.0)

        async def holds_all():
            limits = (await site.request("GET", "/status")).json["limits"]
            return limits[0]["node_rate_per_s"] == 100.0 and limits[0]

        # The only node of the roster has the whole rate.
        limit = await waiting.until(holds_all, "the node is in the roster")
        assert 0.0 <= limit["node_tokens"] <= 50.0
        assert status["refusals"] == {}
        assert status["target_limit"] >= 1
        assert status["open_level"] == 256
        assert status["levels"] == {"desk": 256}
        # A level received at a later time does not decay during the test.
        later = site.runtime.clock.now() + 3600.0
        scale = site.runtime.configuration.index.scale
        site.runtime.service_levels.update("desk", 100, scale, later)
        await site.runtime.target.withdraw()
        status = (await site.request("GET", "/status")).json
        assert status["levels"] == {"desk": 100}
