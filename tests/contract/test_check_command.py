"""The command `sassafras check`."""

import json
import pathlib

import pytest

from common import administration
from common import command_line

pytestmark = pytest.mark.loopback

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
# The same questionnaire with a burst and slots that the rates need.
CLEAN = administration.QUESTIONNAIRE.replace("burst = 50", "burst = 100")
CLEAN = CLEAN.replace("slots = 10", "slots = 120")
SMALL_BURST = CLEAN.replace("burst = 100", "burst = 50")
TARGET = "127.0.0.1:9999"


def write(folder, content, name="harbour.ini"):
    path = folder / name
    if isinstance(content, str):
        content = content.encode()
    path.write_bytes(content)
    return path


async def test_a_file_without_findings_exits_with_0(tmp_path):
    """Guards against findings in a correct file."""
    path = write(tmp_path, CLEAN)
    outcome = await command_line.run("check", path)
    assert outcome.code == 0, outcome.text
    assert "no faults; 1 services" in outcome.out
    as_json = await command_line.run("check", path, "--json")
    assert (as_json.code, as_json.json["findings"]) == (0, [])
    assert "differences" not in as_json.json


async def test_a_finding_exits_with_1_and_names_its_place(tmp_path):
    """Guards against scripts that send a file with findings."""
    path = write(tmp_path, SMALL_BURST)
    line = SMALL_BURST.splitlines().index("burst = 50") + 1
    outcome = await command_line.run("check", path)
    assert (outcome.code, outcome.error_out) == (1, "")
    assert (
        f"{path}:{line}: finding: [organisation national-bank] burst"
        in outcome.out
    )
    as_json = await command_line.run("check", path, "--json")
    assert as_json.code == 1
    (finding,) = as_json.json["findings"]
    assert finding["check"] == "burst-below-rate"
    assert finding["section"] == "organisation national-bank"
    assert (finding["key"], finding["line"]) == ("burst", line)


async def test_a_finding_about_a_route_names_its_section(tmp_path):
    """Guards against names that the operator's file does not have."""
    text = CLEAN + (
        "[route  late ]\nservice = desk\nmethod = GET\npath = /desk/late\n"
        "class = status\nat_most_once = no\ndeadline_ms = 2000\n"
    )
    line = text.splitlines().index("path = /desk/late") + 1
    outcome = await command_line.run("check", write(tmp_path, text), "--json")
    (finding,) = outcome.json["findings"]
    assert finding["section"] == "route late"
    assert (finding["key"], finding["line"]) == ("path", line)
    assert "GET /desk/**" in finding["problem"]


async def test_a_fault_exits_with_2_and_names_its_line(tmp_path):
    """Guards against faults that scripts take for findings."""
    path = write(tmp_path, administration.FAULTY)
    lines = administration.FAULTY.splitlines()
    outcome = await command_line.run("check", path, "--json")
    assert outcome.code == 2
    assert [lines[f["line"] - 1] for f in outcome.json["faults"]] == [
        "rate_per_s = 0",
        "class = stats",
    ]


# Each row: the content of a file, its name, and a part of the error.
ODD_FILES = [
    (b"", "a.ini", "is empty"),
    (b" \n\n", "a.ini", "is empty"),
    (b"", "a.json", "is empty"),
    (b"# x\n" * 300_000, "a.ini", "is larger than 1048576 bytes"),
    (CLEAN.encode("utf-16"), "a.ini", "byte 0 is not UTF-8"),
    (CLEAN.encode() + b"# caf\xe9\n", "a.ini", "is not UTF-8"),
    (b"\0" * 50, "a.ini", "a section such as [deployment] must come first"),
    (b"[" * 100_000, "a.json", "is not JSON"),
    (b'{"classes": ["\\ud800"]}', "a.json", "is not JSON"),
    (b"[]", "a.json", "is not a JSON object"),
    (
        b'{"organisations": [{"name": "bank", "rate_per_s": 1e999,'
        b' "burst": 1e999}]}',
        "a.json",
        "finite",
    ),
]


@pytest.mark.parametrize(("content", "name", "problem"), ODD_FILES)
async def test_odd_files_get_a_clear_error(tmp_path, content, name, problem):
    """Guards against a traceback, or a file that the node would refuse."""
    path = write(tmp_path, content, name)
    outcome = await command_line.run("check", path)
    assert outcome.code == 2
    assert problem in outcome.error_out
    assert (await command_line.run("check", path, "--json")).json["problem"]


async def test_a_byte_order_mark_is_accepted(tmp_path):
    """Guards against a fault in the first line that no editor shows."""
    path = write(tmp_path, CLEAN.encode("utf-8-sig"))
    assert (await command_line.run("check", path)).code == 0


@pytest.mark.parametrize("name", ["athens", "mauritius"])
async def test_the_examples_have_no_findings(name):
    """Guards against examples that new teams have to correct first."""
    outcome = await command_line.run("check", EXAMPLES / f"{name}.ini")
    assert outcome.code == 0, outcome.text


async def test_compare_shows_the_difference_and_writes_nothing(tmp_path):
    """Guards against a check that changes what it looks at."""
    async with administration.site(tmp_path) as site:
        operator = command_line.Operator(site, administration.READER)
        changer = command_line.Operator(site)
        path = operator.file(CLEAN)
        assert (await changer.run("apply", path)).code == 0
        await site.announce(TARGET, slots=112)
        stored = site.stored(administration.CONFIG_KEY)
        audit = await changer.run("audit", "--json")
        revised = operator.file(CLEAN.replace("= 10\nb", "= 12\nb"), "b.ini")
        outcome = await operator.run("check", revised, "--compare", "--json")
        assert outcome.json["revision"] == 1
        assert [
            (d["subject"], d["field"], d["before"], d["after"])
            for d in outcome.json["differences"]
        ] == [("organisation cooperative", "rate_per_s", "10", "12")]
        text = await operator.run("check", revised, "--compare")
        assert "revision 1 is in force" in text.out
        assert "rate_per_s" in text.out
        assert site.stored(administration.CONFIG_KEY) == stored
        assert (await changer.run("audit", "--json")).json == audit.json


async def test_notes_about_the_deployment_exit_with_0(tmp_path):
    """Guards against scripts that stop because a target is down."""
    async with administration.site(tmp_path) as site:
        operator = command_line.Operator(site)
        path = operator.file(CLEAN)
        outcome = await operator.run("check", path, "--compare", "--json")
        assert outcome.code == 0
        assert outcome.json["revision"] == 0
        assert [(f["check"], f["level"]) for f in outcome.json["findings"]] == [
            ("service-without-target", "note")
        ]
        assert (await operator.run("apply", path)).code == 0
        await site.announce(TARGET, slots=109)
        outcome = await operator.run("check", path, "--compare")
        assert outcome.code == 0
        assert "1 note(s)" in outcome.out
        assert "the 109 slots of all services" in outcome.out


async def test_compare_needs_a_node_that_answers(tmp_path):
    """Guards against a comparison that was not made and looks clean."""
    path = write(tmp_path, CLEAN)
    outcome = await command_line.run("check", path, "--compare")
    assert (outcome.code, outcome.out) == (2, "")
    assert "--node is missing" in outcome.error_out
    credential = write(tmp_path, "any", "credential")
    outcome = await command_line.run(
        "check",
        path,
        "--compare",
        "--json",
        "--node=127.0.0.1:1",
        f"--credential_file={credential}",
    )
    assert outcome.code == 1
    assert "nothing was sent" in json.loads(outcome.out)["advice"]


async def test_earlier_compares_two_questionnaires_without_a_node(tmp_path):
    """Guards against a comparison that needs a node."""
    earlier = write(tmp_path, CLEAN, "earlier.ini")
    path = write(tmp_path, CLEAN.replace("slots = 120", "slots = 130"))
    same = await command_line.run("check", path, f"--earlier={earlier}")
    assert (same.code, "no differences" in same.out) == (0, True)
    path = write(tmp_path, CLEAN.replace("_ms = 2000", "_ms = 2500"))
    outcome = await command_line.run(
        "check", path, f"--earlier={earlier}", "--json"
    )
    assert outcome.code == 0
    (difference,) = outcome.json["differences"]
    assert (difference["before"], difference["after"]) == ("2000", "2500")


# Each row: the flags, and a part of the error.
REFUSED_FLAGS = [
    (["--earlier=missing.ini"], "cannot be read"),
    (["--earlier=FOLDER/other.json"], "has another form"),
    (
        [
            "--earlier=x",
            "--compare",
            "--node=127.0.0.1:1",
            "--credential_file=FOLDER/c",
        ],
        "either --compare or --earlier",
    ),
]


@pytest.mark.parametrize(("flags", "problem"), REFUSED_FLAGS)
async def test_comparisons_that_cannot_be_made_are_refused(
    tmp_path, flags, problem
):
    """Guards against a check that leaves out the comparison."""
    path = write(tmp_path, CLEAN)
    write(tmp_path, "any", "c")
    write(tmp_path, '{"Version": "r1"}', "other.json")
    flags = [flag.replace("FOLDER", str(tmp_path)) for flag in flags]
    outcome = await command_line.run("check", path, *flags)
    assert (outcome.code, outcome.out) == (2, "")
    assert problem in outcome.error_out
