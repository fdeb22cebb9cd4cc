"""The questionnaire: its faults, its examples and the generated document."""

import itertools
import pathlib
import random

import pytest
import result

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import indexes
from sassafras_policy.configuration import validation
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.questionnaire import generation
from sassafras_wire.questionnaire import models
from sassafras_wire.questionnaire import parsing

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

VALID = """
[deployment]
name = harbour
availability_zones = north, south
[classes]
order = entry, status
[service desk]
calls = ledger
targets = 2
slots = 10
connections = 20
[service ledger]
targets = 2
slots = 10
connections = 20
[organisation north-bank]
rate_per_s = 100
burst = 50
[route entry]
service = ledger
method = POST
path = /ledger/entries
class = entry
at_most_once = yes
deadline_ms = 5000
[route status]
service = desk
method = GET
path = /desk/**
class = status
at_most_once = no
deadline_ms = 2000
[objective ledger]
service = ledger
success_ratio = 0.999
"""


def faults_of(text):
    checked = parsing.check(text)
    return checked.err_value if isinstance(checked, result.Err) else []


def changed(old, new):
    assert VALID.count(old) == 1, old
    return VALID.replace(old, new)


# Each row: the text to replace, its replacement, and the expected fault as
# (section, key, given value, part of what is allowed).
FAULTS = [
    (
        "calls = ledger",
        "calls = vault",
        ("service desk", "calls", "vault", "a service of this file"),
    ),
    (
        "calls = ledger",
        "calls = ledger, ledger",
        ("service desk", "calls", "ledger, ledger", "each name once"),
    ),
    (
        "[service ledger]\ntargets = 2",
        "[service ledger]\ntargets = 0",
        ("service ledger", "targets", "0", "1 upwards"),
    ),
    (
        "service = ledger\nmethod",
        "service = vault\nmethod",
        ("route entry", "service", "vault", "desk, ledger"),
    ),
    (
        "path = /ledger/entries",
        "path = /desk/entries",
        ("route entry", "path", "/desk/entries", "/ledger/..."),
    ),
    (
        "path = /ledger/entries",
        "path = ledger/entries",
        ("route entry", "path", "ledger/entries", "begins with '/'"),
    ),
    (
        "path = /desk/**",
        "path = /desk/**/x",
        ("route status", "path", "/desk/**/x", "at the end only"),
    ),
    (
        "path = /desk/**",
        "path = /desk/a*",
        ("route status", "path", "/desk/a*", "one whole segment"),
    ),
    (
        "method = POST",
        "method = GET",
        ("route entry", "at_most_once", "yes", "clients may repeat GET"),
    ),
    (
        "method = POST",
        "method = *",
        ("route entry", "at_most_once", "yes", "clients may repeat *"),
    ),
    (
        "method = POST",
        "method = post",
        ("route entry", "method", "post", "one of GET"),
    ),
    (
        "class = entry",
        "class = entries",
        ("route entry", "class", "entries", "entry, status"),
    ),
    (
        "at_most_once = yes",
        "at_most_once = perhaps",
        ("route entry", "at_most_once", "perhaps", "yes or no"),
    ),
    (
        "deadline_ms = 5000",
        "deadline_ms = 0",
        ("route entry", "deadline_ms", "0", "from 1 to 600000"),
    ),
    (
        "deadline_ms = 5000",
        "",
        ("route entry", "deadline_ms", "", "missing"),
    ),
    (
        "rate_per_s = 100",
        "rate_per_s = 0",
        ("organisation north-bank", "rate_per_s", "0", "above 0"),
    ),
    (
        "rate_per_s = 100",
        "rate_per_s = -3",
        ("organisation north-bank", "rate_per_s", "-3", "above 0"),
    ),
    (
        "rate_per_s = 100",
        "rate_per_s = inf",
        ("organisation north-bank", "rate_per_s", "inf", "above 0"),
    ),
    (
        "rate_per_s = 100",
        "rate_per_s = nan",
        ("organisation north-bank", "rate_per_s", "nan", "above 0"),
    ),
    (
        "burst = 50",
        "burst = 0.9",
        ("organisation north-bank", "burst", "0.9", "from 1 upwards"),
    ),
    (
        "success_ratio = 0.999",
        "success_ratio = 1",
        ("objective ledger", "success_ratio", "1", "below 1"),
    ),
    (
        "success_ratio = 0.999",
        "success_ratio = 0",
        ("objective ledger", "success_ratio", "0", "above 0"),
    ),
    (
        "success_ratio = 0.999",
        "success_ratio = 99.9",
        ("objective ledger", "success_ratio", "99.9", "below 1"),
    ),
    (
        "success_ratio = 0.999",
        "success_ratio = 0.999\norganisation = south-bank",
        ("objective ledger", "organisation", "south-bank", "north-bank"),
    ),
    (
        "burst = 50",
        "burst = 50\ncolour = red",
        ("organisation north-bank", "colour", "red", "not a known key"),
    ),
    (
        "burst = 50",
        "burst = 50\nburst = 60",
        ("organisation north-bank", "burst", "burst = 60", "each key once"),
    ),
    (
        "[service ledger]",
        "[service  desk]",
        ("service  desk", "", "", "each section once"),
    ),
    (
        "[organisation north-bank]",
        "[organisation North Bank]",
        ("organisation North Bank", "", "North Bank", "a-z"),
    ),
    (
        "[objective ledger]",
        "[promise ledger]",
        ("promise ledger", "", "", "[objective NAME]"),
    ),
    (
        "[objective ledger]",
        "[DEFAULT]",
        ("DEFAULT", "", "", "[objective NAME]"),
    ),
    (
        "[classes]\norder = entry, status",
        "",
        ("classes", "", "", "missing"),
    ),
    (
        "order = entry, status",
        "order =",
        ("classes", "order", "", "one name or more"),
    ),
    (
        "order = entry, status",
        "order = entry, status, entry",
        ("classes", "order", "entry, status, entry", "each name once"),
    ),
    (
        "name = harbour",
        "name = harbour\nretry_limit = 11",
        ("deployment", "retry_limit", "11", "from 0 to 10"),
    ),
    (
        "path = /desk/**",
        "path = /desk/**\n[route again]\nservice = ledger\nmethod = POST\n"
        "path = /ledger/entries\nclass = entry\nat_most_once = no\n"
        "deadline_ms = 1",
        ("route again", "path", "/ledger/entries", "[route entry]"),
    ),
    ("[deployment]", "", ("", "", "name = harbour", "must come first")),
    ("burst = 50", "burst", ("", "", "'burst\\n'", "key = value")),
]


@pytest.mark.parametrize(("old", "new", "expected"), FAULTS)
def test_each_fault_names_section_key_value_and_what_is_allowed(
    old, new, expected
):
    """Guards against undetected faults and messages without a correction."""
    section, key, given, allowed = expected
    found = [
        fault
        for fault in faults_of(changed(old, new))
        if (fault.section, fault.key, fault.given) == (section, key, given)
    ]
    assert len(found) == 1, faults_of(changed(old, new))
    assert allowed in found[0].allowed


def test_a_valid_questionnaire_has_no_faults():
    """Guards against a fault table that passes because VALID has faults."""
    assert faults_of(VALID) == []


def test_every_fault_is_reported_at_once():
    """Guards against a check that stops at the first fault."""
    text = (
        VALID.replace("calls = ledger", "calls = vault")
        .replace("rate_per_s = 100", "rate_per_s = 0")
        .replace("burst = 50", "burst = 0\nburst = 0")
        .replace("class = entry", "class = entries")
        .replace("path = /ledger/entries", "path = /desk/entries")
        .replace("success_ratio = 0.999", "success_ratio = 2")
    )
    found = {(fault.section, fault.key) for fault in faults_of(text)}
    assert found == {
        ("service desk", "calls"),
        ("organisation north-bank", "rate_per_s"),
        ("organisation north-bank", "burst"),
        ("route entry", "class"),
        ("route entry", "path"),
        ("objective ledger", "success_ratio"),
    }
    with pytest.raises(parsing.QuestionnaireError) as raised:
        parsing.parse(text, "harbour.ini")
    assert len(raised.value.faults) == 7
    assert "[route entry] class = 'entries'" in str(raised.value)


def test_references_to_a_section_with_faults_are_valid():
    """Guards against a faulty section that makes references to it faults."""
    text = changed("[service ledger]\ntargets = 2", "[service ledger]\n")
    assert [(f.section, f.key) for f in faults_of(text)] == [
        ("service ledger", "targets")
    ]


def test_keys_and_stopped_targets_come_from_the_current_document():
    """Guards against a revised questionnaire that withdraws keys."""
    questionnaire = parsing.parse(VALID, "harbour.ini")
    first = generation.generate(questionnaire)
    assert first.revision == 1
    assert first.organisations[0].keys == ()
    key = documents.Key("main", "0" * 64)
    current = documents.Document(
        revision=7,
        organisations=(
            documents.Organisation("north-bank", 1, 1, (key,)),
            documents.Organisation("gone-bank", 1, 1, (key,)),
        ),
        stopped_targets=("10.0.0.1:8000",),
    )
    second = generation.generate(questionnaire, current)
    assert second.revision == 8
    assert [o.name for o in second.organisations] == ["north-bank"]
    assert second.organisations[0].keys == (key,)
    assert second.organisations[0].rate_per_s == 100
    assert second.stopped_targets == ("10.0.0.1:8000",)


@pytest.mark.parametrize(
    ("name", "sizes"),
    [
        (
            "athens",
            {
                "status-desk": (5, 100, 700),
                "lodgement": (4, 125, 850),
                "settlement": (4, 125, 850),
                "returns": (4, 20, 230),
            },
        ),
        (
            "mauritius",
            {
                "status-desk": (6, 35, 300),
                "payments": (4, 40, 350),
                "applications": (3, 55, 400),
                "parcels": (3, 25, 250),
            },
        ),
    ],
)
def test_the_examples_have_their_sizes_and_generate_a_valid_document(
    name, sizes
):
    """Guards against shipped examples that cannot be applied."""
    questionnaire = parsing.read(EXAMPLES / f"{name}.ini")
    found = {
        service: (section.targets, section.slots, section.connections)
        for service, section in questionnaire.services.items()
    }
    assert found == sizes
    assert len(questionnaire.organisations) == 8
    document = generation.generate(questionnaire)
    encoded = configuration_models.encode(document)
    assert configuration_models.decode(encoded, name) == document
    index = indexes.Index(document)
    for route in document.routes:
        path = route.pattern.replace("*", "7")
        entry = index.find_route(route.method, path)
        assert entry is not None
        assert entry.route == route


@pytest.mark.parametrize("seed", range(20))
def test_damaged_text_is_refused_or_generates_a_valid_document(seed):
    """Guards against invalid input that raises in the check."""
    rng = random.Random(seed)
    lines = (EXAMPLES / "mauritius.ini").read_text().splitlines()
    for _ in range(20):
        damaged = list(lines)
        for _ in range(rng.randint(1, 4)):
            _damage(damaged, rng)
        checked = parsing.check("\n".join(damaged))
        if isinstance(checked, result.Ok):
            document = generation.generate(checked.ok_value)
            encoded = configuration_models.encode(document)
            assert configuration_models.decode(encoded, "test") == document
            assert validation.find_faults(document) == []
        else:
            assert all(fault.allowed for fault in checked.err_value)


def _damage(lines, rng):
    at = rng.randrange(len(lines))
    line = lines[at]
    cut = rng.randrange(len(line) + 1)
    odd = rng.choice("\0\t\r;:=[]#%*/\u2028\u00e9")
    lines[at] = rng.choice(
        [
            "",
            line[:cut],
            line[:cut] + odd + line[cut:],
            " " + line,
            line.upper(),
            line.replace("=", " "),
            line + "\n" + rng.choice(lines),
            line + "0",
        ]
    )


@pytest.mark.parametrize("name", ["athens", "mauritius"])
def test_a_comment_precedes_each_key_of_the_examples(name):
    """Guards against keys without an explanation in the examples."""
    lines = (EXAMPLES / f"{name}.ini").read_text().splitlines()
    for above, line in itertools.pairwise(lines):
        if "=" in line and not line.startswith("#"):
            assert above.startswith("# "), line


def test_every_key_of_every_section_appears_in_the_examples():
    """Guards against keys that are missing from the examples."""
    text = (EXAMPLES / "athens.ini").read_text()
    sections = [
        *models.SINGLE_SECTIONS.values(),
        *models.NAMED_SECTIONS.values(),
    ]
    for section in sections:
        for key in models.keys(section):
            assert f"\n{key} =" in text
