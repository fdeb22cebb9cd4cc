"""Checks for configuration entries that probably are mistakes."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import indexes
from sassafras_policy.configuration import validation
from sassafras_policy.configuration.checks import registry
from sassafras_policy.configuration.checks import suite

LODGE = documents.Route("desk", "POST", "/desk/cheques", "lodgement", True)
STATUS = documents.Route("desk", "GET", "/desk/**", "status")
BALANCE = documents.Route("ledger", "GET", "/ledger/*/balance", "status")
BANK = documents.Organisation(
    "bank", 100, 100, (documents.Key("main", "a" * 64),)
)
BASE = documents.Document(
    revision=1,
    classes=("lodgement", "status"),
    services=(
        documents.Service("desk", ("ledger",)),
        documents.Service("ledger"),
    ),
    routes=(LODGE, STATUS, BALANCE),
    organisations=(BANK,),
    objectives=(documents.Objective("desk", "*", 0.99, 5000),),
)


def changed(**changes):
    return dataclasses.replace(BASE, **changes)


def route(method, pattern):
    return documents.Route("desk", method, pattern, "status")


def found(document, **known):
    assert validation.find_faults(document) == []
    return [
        (finding.check, finding.subject, finding.field)
        for finding in suite.find(registry.Subject(document, **known))
    ]


def test_a_document_without_mistakes_has_no_findings():
    """Guards against findings that operators learn to ignore."""
    assert found(BASE) == []
    slots = {"desk": 60, "ledger": 40}
    assert found(BASE, slots=slots, announced_slots=slots) == []


# Each row: a document with one mistake, and the finding.
MISTAKES = [
    (
        changed(routes=(*BASE.routes, route("GET", "/desk/cheques"))),
        ("unreachable-route", "route GET /desk/cheques", "pattern"),
    ),
    (
        changed(
            routes=(
                *BASE.routes,
                route("*", "/desk/a"),
                route("PUT", "/desk/a"),
            )
        ),
        ("unreachable-route", "route PUT /desk/a", "pattern"),
    ),
    (
        changed(classes=("lodgement", "spare", "status")),
        ("unused-class", "class spare", "order"),
    ),
    (
        changed(services=(*BASE.services, documents.Service("spare"))),
        ("unused-service", "service spare", ""),
    ),
    (
        changed(routes=(LODGE, STATUS)),
        ("unused-service", "service ledger", ""),
    ),
    (
        changed(objectives=BASE.objectives * 2),
        ("unused-objective", "objective desk *", "service"),
    ),
    (
        changed(objectives=(documents.Objective("desk", "*", 0.99, 5001),)),
        ("latency-above-deadline", "objective desk *", "latency_ms"),
    ),
    (
        changed(organisations=(dataclasses.replace(BANK, burst=99.5),)),
        ("burst-below-rate", "organisation bank", "burst"),
    ),
    (
        changed(
            organisations=(BANK, dataclasses.replace(BANK, name="other")),
        ),
        ("repeated-key", "organisation other", "keys"),
    ),
    (
        changed(
            organisations=(
                dataclasses.replace(
                    BANK, keys=(*BANK.keys, documents.Key("main", "b" * 64))
                ),
            ),
        ),
        ("repeated-key", "organisation bank", "keys"),
    ),
    (
        changed(routes=(*BASE.routes, route("PUT", "/desk/a?b=1"))),
        ("misleading-pattern", "route PUT /desk/a?b=1", "pattern"),
    ),
    (
        changed(routes=(*BASE.routes, route("PUT", "/desk/**/a"))),
        ("misleading-pattern", "route PUT /desk/**/a", "pattern"),
    ),
    (
        changed(routes=(*BASE.routes, route("PUT", "/desk/a*"))),
        ("misleading-pattern", "route PUT /desk/a*", "pattern"),
    ),
]


@pytest.mark.parametrize(("document", "finding"), MISTAKES)
def test_each_mistake_has_one_finding(document, finding):
    """Guards against mistakes that pass, or that hide in other findings."""
    assert found(document) == [finding]


def test_every_check_has_a_test_that_it_fires():
    """Guards against a check that never finds anything."""
    covered = {finding[0] for _, finding in MISTAKES}
    covered |= {"rates-above-slots", "service-without-target"}
    assert suite.CHECK_MODULES
    assert covered == {
        name
        for name, check in registry.checks.items()
        if documents.Document in check.contents
    }


@pytest.mark.parametrize(
    ("known", "findings"),
    [
        ({"slots": {"desk": 60, "ledger": 40}}, []),
        (
            {"slots": {"desk": 60, "ledger": 39}},
            [("rates-above-slots", "organisation *", "rate_per_s")],
        ),
        # A service whose slots are not known.
        ({"slots": {"desk": 1}}, []),
        # Announced slots go before stated ones.
        (
            {
                "slots": {"desk": 1, "ledger": 1},
                "announced_slots": {"desk": 60, "ledger": 40},
            },
            [],
        ),
        (
            {"announced_slots": {"desk": 200}},
            [("service-without-target", "service ledger", "")],
        ),
        (
            {"announced_slots": {"desk": 60, "ledger": 40, "dsek": 1}},
            [("service-without-target", "service dsek", "")],
        ),
    ],
)
def test_limits_are_compared_with_the_slots_that_are_known(known, findings):
    """Guards against guesses about slots that nobody has stated."""
    assert found(BASE, **known) == findings


@pytest.mark.parametrize(
    ("earlier", "later", "is_covered"),
    [
        ("/desk/**", "/desk", True),
        ("/desk/**", "/desk/a/b", True),
        ("/desk/*", "/desk/a", True),
        ("/desk/*", "/desk/**", False),
        ("/desk/a", "/desk/*", False),
        ("/desk/*/b", "/desk/a/b", True),
        ("/desk/*/b", "/desk/a/c", False),
        ("/desk/**", "/desk/**", True),
        ("/desk/a/**", "/desk/**", False),
        ("/desk", "/desk/", False),
    ],
)
def test_a_pattern_covers_another(earlier, later, is_covered):
    """Guards against reports of routes that some requests reach."""
    patterns = indexes.PatternSet()
    patterns.add(earlier)
    assert (patterns.find_cover(later) == earlier) == is_covered


SEGMENTS = strategies.lists(
    strategies.sampled_from(["a", "b", "*"]), max_size=3
)
PATTERNS = strategies.builds(
    lambda segments, tail: "/".join(["", *segments, *tail]),
    SEGMENTS,
    strategies.sampled_from([[], ["**"]]),
)
PATHS = strategies.lists(
    strategies.sampled_from(["a", "b", "c", ""]), max_size=5
).map(lambda segments: ("", *segments))


@hypothesis.given(
    strategies.lists(PATTERNS, max_size=5),
    PATTERNS,
    strategies.lists(PATHS, max_size=20),
)
def test_no_path_reaches_a_pattern_that_is_covered(earlier, later, paths):
    """Guards against an order of match that differs from the node's."""
    patterns = indexes.PatternSet()
    for pattern in earlier:
        if patterns.find_cover(pattern) is None:
            patterns.add(pattern)
    cover = patterns.find_cover(later)
    if cover is None:
        return
    for path in paths:
        if indexes.pattern_matches(tuple(later.split("/")), path):
            assert indexes.pattern_matches(tuple(cover.split("/")), path)
