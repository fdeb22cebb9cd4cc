"""The command line: commands, exit codes and requests to a node."""

import io
import json
import pathlib

import pytest
import trio

from common import administration
from common import command_line
from common import waiting
from sassafras_cli import exit_codes
from sassafras_cli import help_text
from sassafras_cli import main
from sassafras_cli import registry
from sassafras_standins.fleet import launcher
from sassafras_standins.store import faults

pytestmark = pytest.mark.loopback

TARGET = "127.0.0.1:9999"
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
COMMANDS = {
    "apply",
    "audit",
    "check",
    "explain",
    "history",
    "keys-grant",
    "keys-list",
    "keys-withdraw",
    "nodes",
    "nodes-forget",
    "plan",
    "report",
    "rollforward",
    "show",
    "status",
    "targets-list",
    "targets-start",
    "targets-stop",
}


async def prepared(site):
    """Returns an operator at a node with a configuration and a target."""
    operator = command_line.Operator(site)
    path = operator.file(administration.QUESTIONNAIRE)
    applied = await operator.run("apply", path)
    assert applied.code == 0, applied.text
    await site.announce(TARGET)
    return operator


def test_the_list_of_commands_is_complete():
    """Guards against a command that no contract test covers."""
    assert main.COMMAND_MODULES
    assert set(registry.commands.names) == COMMANDS


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_help_shows_an_example_that_the_command_accepts(name):
    """Guards against examples with unknown commands or flags."""
    command = registry.commands.get(name)
    text = help_text.command_help(command)
    assert f"  {command.example}" in text
    words = command.example.split(" > ")[0].split()
    assert words[:2] == ["sassafras", name]
    for word in words:
        if word.startswith("--"):
            flag = word.removeprefix("--").split("=")[0]
            assert flag in command.all_flags
    for flag in command.all_flags:
        assert f"--{flag}" in text


async def test_help_lists_commands_and_exit_codes():
    """Guards against commands and exit codes that are missing from the help."""
    for argv in ([], ["help"], ["--help"]):
        outcome = await command_line.run(*argv)
        assert outcome.code == 0
        for name in COMMANDS:
            assert f"sassafras {name}" in outcome.out
        for code in exit_codes.ExitCode:
            assert f"  {int(code)}  " in outcome.out
    for argv in (["help", "plan"], ["plan", "--help"]):
        assert (
            "usage: sassafras plan FILE" in (await command_line.run(*argv)).out
        )


# Each row: the command line, and a part of the output.
USAGE_FAULTS = [
    (
        ["report", "--format=pdf", "--node=127.0.0.1:1"],
        "should be one of",
    ),
    (["fly"], "no command 'fly'"),
    (["help", "fly"], "no command 'fly'"),
    (["check"], "usage: sassafras check FILE"),
    (["check", "a", "b"], "got 2 argument(s)"),
    (["check", "a.ini", "--colour=red"], "colour"),
    (["check", "a.ini", "--limit=3"], "does not take --limit"),
    (["check", "missing.ini"], "cannot be read"),
    (["audit", "--limit=many"], "limit"),
    (["audit", "--limit=0"], "limit"),
    (["status"], "--node is missing"),
    (["status", "--node=here"], "not host:port"),
    (["status", "--node=10.0.0.7:99999"], "not host:port"),
    (["status", "--node=127.0.0.1:1"], "--credential_file is missing"),
    (
        ["status", "--node=127.0.0.1:1", "--credential_file=missing"],
        "cannot be read",
    ),
]


@pytest.mark.parametrize(("argv", "text"), USAGE_FAULTS)
async def test_usage_errors_exit_with_2(argv, text):
    """Guards against scripts that take a usage error for a refusal."""
    outcome = await command_line.run(*argv)
    assert outcome.code == 2
    assert text in outcome.error_out
    assert outcome.out == ""


@pytest.mark.parametrize("name", ["athens", "mauritius"])
async def test_check_needs_no_node(name):
    """Guards against a check that works only with a running node."""
    outcome = await command_line.run("check", EXAMPLES / f"{name}.ini")
    assert outcome.code == 0
    assert "no faults; 4 services, 8 organisations" in outcome.out


async def test_check_shows_every_fault(tmp_path):
    """Guards against a check that stops at the first fault."""
    path = tmp_path / "faulty.ini"
    path.write_text(administration.FAULTY)
    outcome = await command_line.run("check", path)
    assert outcome.code == 2
    for text in ("rate_per_s", "a number above 0", "lodgement, status"):
        assert text in outcome.error_out
    as_json = await command_line.run("check", path, "--json")
    assert as_json.code == 2
    assert [f["key"] for f in as_json.json["faults"]] == ["rate_per_s", "class"]


async def test_plan_and_apply_a_revised_questionnaire(tmp_path):
    """Guards against a plan whose suggested revision apply does not accept."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        path = operator.file(administration.REVISED)
        planned = await operator.run("plan", path)
        assert planned.code == 0
        assert "rate_per_s     100    200" in planned.out
        assert "--expected_revision=1" in planned.out
        applied = await operator.run(
            "apply", path, "--expected_revision=1", "--note=more", "--json"
        )
        assert applied.code == 0
        assert applied.json["revision"] == 2
        assert (await operator.run("plan", path, "--json")).json == {
            "revision": 2,
            "differences": [],
        }
        again = await operator.run("apply", path, "--expected_revision=1")
        assert (again.code, "already as asked" in again.out) == (0, True)


async def test_a_document_from_show_can_be_applied(tmp_path):
    """Guards against JSON output that apply does not accept."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        shown = await operator.run("show", "--json")
        document = shown.json
        document["retry_limit"] = 1
        # Below one second of the rate, the burst would be a finding.
        document["organisations"][0]["burst"] = 100
        path = operator.file(json.dumps(document), "document.json")
        assert (await operator.run("check", path)).code == 0
        applied = await operator.run("apply", path, "--expected_revision=1")
        assert applied.code == 0, applied.text
        assert "retry_limit" in applied.out
        history = await operator.run("history", "2")
        assert '"retry_limit": 1' in history.out


async def test_a_conflict_exits_with_3_and_shows_the_difference(tmp_path):
    """Guards against a script that overwrites another operator's change."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        path = operator.file(administration.REVISED)
        await operator.run("apply", path, "--expected_revision=1")
        late = operator.file(administration.QUESTIONNAIRE, "late.ini")
        outcome = await operator.run("apply", late, "--expected_revision=1")
        assert outcome.code == 3
        assert "revision 2 is stored" in outcome.error_out
        assert "rate_per_s     200    100" in outcome.error_out
        rolled = await operator.run(
            "rollforward", "1", "--expected_revision=1", "--json"
        )
        assert (rolled.code, rolled.json["revision"]) == (3, 2)
        assert site.runtime.configuration.revision == 2


async def test_rollforward_makes_an_earlier_content_the_newest(tmp_path):
    """Guards against a rollback that lowers the revision."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        path = operator.file(administration.REVISED)
        await operator.run("apply", path, "--expected_revision=1", "--note=up")
        rolled = await operator.run("rollforward", 1, "--expected_revision=2")
        assert rolled.code == 0
        assert "written as revision 3" in rolled.out
        listed = await operator.run("history")
        assert [line.split()[0] for line in listed.out.splitlines()] == [
            "REVISION",
            "3",
            "2",
            "1",
        ]


@pytest.mark.parametrize(
    ("flags", "text"),
    [
        ([], "Service-level burn report\nnodes: 1, missing: 0"),
        (["--format=html"], "<!doctype html>"),
        (["--json"], '"missing": []'),
    ],
)
async def test_the_report_comes_in_each_form(tmp_path, flags, text):
    """Guards against a report format that the command cannot print."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        printed = await operator.run("report", *flags)
        assert printed.code == 0, printed.text
        assert text in printed.out


# Each row: the command line, the exit code, and a part of the output.
REFUSED = [
    (["apply", "FILE"], 3, "revision 2 is stored"),
    (["rollforward", "1"], 2, "--expected_revision is missing"),
    (["rollforward", "x", "--expected_revision=1"], 2, "integer"),
    (["rollforward", "1", "--expected_revision=0"], 2, "greater than 0"),
    (["apply", "FILE", "--note=" + "n" * 501], 2, "500 characters"),
    (["targets-stop", TARGET, "--note=" + "n" * 501], 2, "500 characters"),
    (["rollforward", "9", "--expected_revision=1"], 1, "no content"),
    (["history", "9"], 1, "no content"),
    (["history", "x"], 2, "revision"),
    (["keys-grant", "nobody", "main"], 1, "no organisation"),
    (["keys-grant", "cooperative", "a b"], 2, "label"),
    (["keys-withdraw", "cooperative", "main"], 1, "no key"),
    (["targets-stop", "somewhere"], 2, "host:port"),
    (["targets-stop", "10.0.0.1:5"], 1, "no target"),
    (["targets-start", "10.0.0.1:5"], 1, "no target"),
    (["keys-grant", "cooperative", "taken"], 1, "already has a key"),
    (["nodes-forget", "somewhere"], 2, "host:port"),
    (["nodes-forget", "10.0.0.1:5"], 1, "no node"),
]


async def test_refused_commands_give_a_reason_and_change_nothing(tmp_path):
    """Guards against wrong exit codes, and invalid input that has an effect."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        path = operator.file(administration.REVISED)
        await operator.run("keys-grant", "cooperative", "taken")
        config = site.stored("/sassafras/config")
        for words, code, text in REFUSED:
            argv = [path if word == "FILE" else word for word in words]
            outcome = await operator.run(*argv)
            assert (outcome.code, outcome.out) == (code, ""), outcome.text
            assert text in outcome.error_out
            assert "advice: " in outcome.error_out
            as_json = await operator.run(*argv, "--json")
            assert (as_json.code, as_json.error_out) == (code, "")
            assert text in as_json.out
        assert site.stored("/sassafras/config") == config


async def test_a_reader_can_read_and_not_change(tmp_path):
    """Guards against commands that bypass the operator's role."""
    async with administration.site(tmp_path) as site:
        await prepared(site)
        reader = command_line.Operator(site, administration.READER)
        path = reader.file(administration.REVISED)
        assert (await reader.run("plan", path)).code == 0
        outcome = await reader.run("apply", path, "--expected_revision=1")
        assert outcome.code == 1
        assert "change is needed" in outcome.error_out
        stranger = command_line.Operator(site, "guess")
        assert (await stranger.run("status")).code == 1


async def test_a_key_is_granted_listed_and_withdrawn(tmp_path):
    """Guards against a key that is shown after it was granted."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        granted = await operator.run(
            "keys-grant", "cooperative", "main", "--json"
        )
        key = granted.json["key"]
        index = site.runtime.configuration.index
        assert index.find_organisation(key).name == "cooperative"
        listed = await operator.run("keys-list")
        assert "cooperative   main" in listed.out
        assert key not in listed.out
        withdrawn = await operator.run("keys-withdraw", "cooperative", "main")
        assert withdrawn.code == 0
        assert "key cooperative/main" in withdrawn.out
        shown = await operator.run("keys-grant", "cooperative", "other")
        assert "The key is not shown again" in shown.out


async def test_targets_stop_shows_progress_until_the_target_has_drained(
    tmp_path,
):
    """Guards against a stop that ends while calls are still running."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        token = site.runtime.contexts.open(None)
        outcomes = []
        out = io.StringIO()

        async def stop():
            outcomes.append(
                await operator.run(
                    "targets-stop", TARGET, "--wait_s=30", out=out
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)

            async def shown():
                return "leaving, 1 calls in flight" in out.getvalue()

            # The call must stay in flight until the command has shown it.
            await waiting.until(shown, "the command shows the call")
            assert outcomes == []
            site.runtime.contexts.close(token)
        (outcome,) = outcomes
        assert outcome.code == 0
        assert "1 calls in flight" in outcome.out
        assert outcome.out.rstrip().endswith(f"{TARGET}: leaving, drained")
        listed = await operator.run("targets-list")
        assert "leaving  yes" in listed.out
        started = await operator.run("targets-start", TARGET)
        assert started.code == 0


async def test_targets_stop_reports_a_drain_that_timed_out(tmp_path):
    """Guards against an unfinished drain that is reported as complete."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        token = site.runtime.contexts.open(None)
        outcome = await operator.run("targets-stop", TARGET, "--wait_s=0.2")
        assert outcome.code == 1
        assert "it stays stopped" in outcome.error_out
        as_json = await operator.run(
            "targets-stop", TARGET, "--wait_s=0.2", "--json"
        )
        assert as_json.code == 1
        assert as_json.json["change"]["outcome"] == "unchanged"
        assert as_json.json["drain"]["drained"] is False
        site.runtime.contexts.close(token)


async def test_nodes_status_and_audit_show_the_state_of_the_node(tmp_path):
    """Guards against missing columns in tables."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        nodes = await operator.run("nodes")
        assert site.runtime.table.own_id in nodes.out
        assert "alive" in nodes.out
        status = await operator.run("status")
        assert TARGET in status.out
        assert "national-bank" in status.out
        assert "256 of 256" in status.out
        audit = await operator.run("audit", "--limit=5")
        row = audit.out.splitlines()[1].split()
        assert row == [
            "1",
            "2025-06-15T15:06:40Z",
            "carl",
            "apply",
            "configuration",
            "written",
            "1",
            "-",
        ]


async def test_a_change_without_a_node_or_a_store_exits_with_1(tmp_path):
    """Guards against success reported for a change that was not stored."""
    async with administration.site(tmp_path) as site:
        operator = await prepared(site)
        site.store.faults.mode = faults.Mode.DOWN
        outcome = await operator.run("keys-grant", "cooperative", "main")
        assert outcome.code == 1
        assert "not stored" in outcome.error_out
    outcome = await operator.run("keys-grant", "cooperative", "main")
    assert outcome.code == 1
    assert "nothing was sent" in outcome.error_out


async def _close(stream):
    """Reads a request and closes the connection without a response."""
    await stream.receive_some(65536)
    await stream.aclose()


async def _send_nothing(stream):
    """Reads a request and never responds."""
    await stream.receive_some(65536)
    await trio.sleep_forever()


async def _send_invalid_body(stream):
    """Responds with a body that is not of the API."""
    await stream.receive_some(65536)
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")


async def _send_not_found(stream):
    """Responds like a server that is not a node."""
    await stream.receive_some(65536)
    await stream.send_all(
        b"HTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\nnope"
    )


@pytest.mark.parametrize(
    ("handler", "change_code", "read_code"),
    [
        (_close, 4, 1),
        (_send_nothing, 4, 1),
        (_send_invalid_body, 4, 1),
        (_send_not_found, 1, 1),
    ],
)
async def test_a_change_without_a_response_exits_with_4(
    tmp_path, handler, change_code, read_code
):
    """Guards against a lost response that is reported as a refusal."""
    address = launcher.free_address()
    host, port = address.split(":")
    credential = tmp_path / "credential"
    credential.write_text("any")
    flags = [
        f"--node={address}",
        f"--credential_file={credential}",
        "--timeout_s=0.3",
    ]
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handler, listeners)
        change = await command_line.run("keys-withdraw", "bank", "main", *flags)
        read = await command_line.run("keys-list", *flags)
        nursery.cancel_scope.cancel()
    assert (change.code, read.code) == (change_code, read_code)
    assert ("outcome unknown" in change.error_out) == (change_code == 4)
