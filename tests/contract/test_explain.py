"""The explain command: from a request's id to its cause, across nodes."""

import io
import json

import pytest

from sassafras_cli import exit_codes
from sassafras_cli import main

ENDED = {
    "time": 100.5,
    "level": "INFO",
    "event": 820,
    "name": "request_ended",
    "request_id": "r1",
    "route": "status",
    "service": "desk",
    "organisation": "acme",
    "outcome": "not-run",
    "reason": "overload",
    "status": 503,
    "elapsed_ms": 40,
    "nodes": "node-b",
    "sends": 0,
    "version": 7,
    "confirmed_ms": 300,
}
SHED = {
    "time": 100.4,
    "event": 822,
    "name": "request_shed",
    "request_id": "r1",
    "service": "desk",
    "rank": 260,
    "processor_level": 250,
    "service_level": 255,
    "lag_ms": 40,
}
REFUSED = {
    "time": 100.4,
    "event": 830,
    "name": "call_ended",
    "request_id": "r1",
    "load": 1.5,
    "rank": 260,
    "admission_level": 200,
}
RATE = {
    "time": 100.4,
    "event": 821,
    "name": "rate_refused",
    "request_id": "r1",
    "organisation": "acme",
    "rate_per_s": 20.0,
    "share_per_s": 1.2,
    "fleet_demand_per_s": 90.0,
}
LOST = {"time": 95.0, "event": 842, "name": "store_lost", "step": "entry"}


def _write(folder, **nodes):
    for name, lines in nodes.items():
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (folder / f"{name.replace('_', '-')}.log").write_text(text)


async def _explain(*arguments):
    out, error_out = io.StringIO(), io.StringIO()
    code = await main.execute(["explain", *arguments], out, error_out)
    return code, out.getvalue() + error_out.getvalue()


async def test_lines_of_all_nodes_are_joined_in_order(tmp_path):
    """Guards against an explanation that reads only the first node's log."""
    _write(tmp_path, node_a=[LOST, ENDED], node_b=[REFUSED])
    code, text = await _explain("r1", str(tmp_path))
    assert code is exit_codes.ExitCode.DONE
    assert "no room at node-b (load 1.5, rank 260, level 200)" in text
    assert text.index("830 call_ended") < text.index("820 request_ended")
    assert text.index("820 request_ended") < text.index("842 store_lost")


@pytest.mark.parametrize(
    ("changes", "events", "expected"),
    [
        ({"reason": "overload"}, [], "sent this one nowhere"),
        ({"reason": "overload"}, [SHED], "processor of node-a was full"),
        (
            {"reason": "overload"},
            [SHED | {"processor_level": 384}],
            "service desk, or one that it calls, was overloaded",
        ),
        ({"reason": "organisation-limit"}, [RATE], "acme sent 90"),
        (
            {"reason": "organisation-limit"},
            [RATE | {"fleet_demand_per_s": 9.0}],
            "may not have been reached",
        ),
        (
            {"reason": "organisation-limit"},
            [RATE | {"share_per_s": 0.0, "fleet_demand_per_s": 0.2}],
            "the pool with all of the 20 requests a second of acme was empty",
        ),
        ({"reason": "no-configuration"}, [], "for 300 ms"),
        ({"reason": "no-target"}, [], "no target of service desk"),
        ({"reason": "deadline"}, [], "over after 40 ms"),
        ({"reason": "connection-lost"}, [], "connection to node-b was lost"),
        ({"reason": "connection-lost"}, [REFUSED], "broke the connection off"),
        ({"reason": "target-protocol"}, [], "no whole answer"),
        ({"reason": "", "outcome": "ran", "status": 200}, [], "served by"),
        ({"reason": "", "outcome": "ran", "status": 500}, [], "answered 500"),
        ({"reason": "memory"}, [], "docs/OPERATIONS.md"),
    ],
)
async def test_each_reason_is_explained(tmp_path, changes, events, expected):
    """Guards against a reason that only the code explains."""
    _write(tmp_path, node_a=[*events, ENDED | changes])
    _, text = await _explain("r1", str(tmp_path))
    assert expected in text


async def test_sub_calls_of_a_request_are_shown_with_it(tmp_path):
    """Guards against a 500 whose cause, a failed sub-call, is not shown."""
    call = ENDED | {"request_id": "r1.c2", "time": 100.45, "organisation": ""}
    _write(tmp_path, node_a=[ENDED], node_b=[call])
    _, text = await _explain("r1", str(tmp_path), "--json")
    steps = json.loads(text)["steps"]
    assert [step["fields"]["request_id"] for step in steps] == ["r1.c2", "r1"]


async def test_lines_that_are_not_events_are_skipped(tmp_path):
    """Guards against a search that stops at a traceback in the log."""
    (tmp_path / "node-a.log").write_text(
        "Traceback (most recent call last):\n{cut off\n"
        '{"dropped_lines": 12}\n'
        "   1.13 node-a " + json.dumps(ENDED) + "\n"
    )
    code, _ = await _explain("r1", str(tmp_path / "node-a.log"))
    assert code is exit_codes.ExitCode.DONE


@pytest.mark.parametrize("path", ["node-a.log", "missing.log"])
async def test_an_unknown_request_or_file_ends_with_2(tmp_path, path):
    """Guards against empty output with the exit code of success."""
    _write(tmp_path, node_a=[LOST])
    code, text = await _explain("r1", str(tmp_path / path))
    assert code is exit_codes.ExitCode.USAGE
    assert path in text
