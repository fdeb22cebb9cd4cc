"""Differences and edits of the configuration document."""

import dataclasses

import pytest
import result

from sassafras_policy.configuration import differences
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import edits
from sassafras_policy.configuration import validation
from sassafras_wire.configuration import models as configuration_models

KEY = documents.Key("main", "a" * 64)
LODGE = documents.Route("desk", "POST", "/desk/cheques", "lodgement", True)
STATUS = documents.Route("desk", "GET", "/desk/**", "status")
BASE = documents.Document(
    revision=4,
    author="rita",
    classes=("lodgement", "status"),
    services=(
        documents.Service("desk", ("ledger",)),
        documents.Service("ledger"),
    ),
    routes=(LODGE, STATUS),
    organisations=(documents.Organisation("bank", 100, 50, (KEY,)),),
    objectives=(documents.Objective("desk", "*", 0.99),),
    stopped_targets=("10.0.0.1:80",),
)


def changed(**changes):
    return dataclasses.replace(BASE, **changes)


# Each row: a changed document and the expected description of the change.
DIFFERENCES = [
    (changed(revision=5, author="carl", note="n", write_id="w"), []),
    (changed(retry_limit=1), ["deployment: retry_limit 3 -> 1"]),
    (
        changed(classes=("status", "lodgement")),
        ["classes: order lodgement, status -> status, lodgement"],
    ),
    (
        changed(services=(documents.Service("desk"),)),
        ["service desk: calls ledger -> none", "service ledger: removed"],
    ),
    (
        changed(routes=(STATUS, LODGE)),
        [
            "routes: order POST /desk/cheques, GET /desk/** -> GET /desk/**,"
            " POST /desk/cheques"
        ],
    ),
    (
        changed(routes=(dataclasses.replace(LODGE, is_open=True), STATUS)),
        ["route POST /desk/cheques: open no -> yes"],
    ),
    (
        changed(routes=(LODGE,)),
        ["route GET /desk/**: removed"],
    ),
    (
        changed(
            organisations=(documents.Organisation("bank", 100.5, 50, (KEY,)),)
        ),
        ["organisation bank: rate_per_s 100 -> 100.5"],
    ),
    (
        changed(organisations=(documents.Organisation("bank", 100, 50),)),
        ["key bank/main: removed"],
    ),
    (
        changed(
            organisations=(
                documents.Organisation(
                    "bank", 100, 50, (documents.Key("main", "b" * 64),)
                ),
            )
        ),
        ["key bank/main: digest aaaaaaaa -> bbbbbbbb"],
    ),
    (
        changed(objectives=(documents.Objective("desk", "*", 0.999),)),
        ["objective desk *: success_ratio 0.99 -> 0.999"],
    ),
    (
        changed(stopped_targets=("10.0.0.2:80",)),
        [
            "stopped target 10.0.0.1:80: removed",
            "stopped target 10.0.0.2:80: added",
        ],
    ),
]


@pytest.mark.parametrize(("after", "lines"), DIFFERENCES)
def test_a_difference_is_described_in_terms_of_the_questionnaire(after, lines):
    """Guards against a plan that hides or misnames a change."""
    assert [str(d) for d in differences.compare(BASE, after)] == lines


def test_without_a_document_everything_is_added():
    """Guards against an empty first plan."""
    found = differences.compare(None, BASE)
    assert "organisation bank: added (rate_per_s 100, burst 50)" in [
        str(difference) for difference in found
    ]


# Each row: an edit and the expected changes of the document.
EDITS = [
    (
        edits.grant_key(BASE, "bank", "spare", "c" * 64),
        ["key bank/spare: added"],
    ),
    (edits.withdraw_key(BASE, "bank", "main"), ["key bank/main: removed"]),
    (
        edits.stop_target(BASE, "10.0.0.2:80"),
        ["stopped target 10.0.0.2:80: added"],
    ),
    (edits.stop_target(BASE, "10.0.0.1:80"), []),
    (
        edits.start_target(BASE, "10.0.0.1:80"),
        ["stopped target 10.0.0.1:80: removed"],
    ),
    (edits.start_target(BASE, "10.0.0.2:80"), []),
]


@pytest.mark.parametrize(("edited", "lines"), EDITS)
def test_an_edit_changes_one_thing_and_raises_the_revision(edited, lines):
    """Guards against edits with side effects or the same revision."""
    after = edited.ok_value
    assert [str(d) for d in differences.compare(BASE, after)] == lines
    assert after.revision == (5 if lines else 4)


@pytest.mark.parametrize(
    ("edited", "is_missing"),
    [
        (edits.grant_key(BASE, "bank", "main", "c" * 64), False),
        (edits.grant_key(BASE, "nobody", "main", "c" * 64), True),
        (edits.withdraw_key(BASE, "bank", "spare"), True),
        (edits.withdraw_key(BASE, "nobody", "main"), True),
    ],
)
def test_an_impossible_edit_is_refused_with_advice(edited, is_missing):
    """Guards against an edit that silently does nothing."""
    assert isinstance(edited, result.Err)
    assert edited.err_value.is_missing is is_missing
    assert edited.err_value.advice


def test_earlier_contents_do_not_restore_a_withdrawn_key():
    """Guards against a withdrawn key that works again after a roll forward."""
    current = edits.withdraw_key(BASE, "bank", "main").ok_value
    after = edits.replace_contents(current, BASE)
    assert after.revision == 6
    assert after.organisations[0].keys == ()


# Each row: a document and its invalid fields.
FAULTY = [
    (changed(services=(documents.Service("desk", ("vault",)),)), ["calls"]),
    (
        changed(services=(*BASE.services, documents.Service("desk"))),
        ["name"],
    ),
    (changed(organisations=BASE.organisations * 2), ["name"]),
    (changed(classes=("lodgement", "status", "status")), ["name"]),
    (changed(routes=(LODGE, LODGE)), ["name"]),
    (
        changed(routes=(dataclasses.replace(LODGE, pattern="/ledger/x"),)),
        ["pattern"],
    ),
    (
        changed(routes=(dataclasses.replace(LODGE, method="GET"),)),
        ["at_most_once"],
    ),
    (
        changed(objectives=(documents.Objective("vault", "nobody", 0.9),)),
        ["service", "organisation"],
    ),
]


@pytest.mark.parametrize(("document", "fields"), FAULTY)
def test_the_faults_of_a_document_are_all_found(document, fields):
    """Guards against posted documents that no questionnaire could produce."""
    assert [f.field for f in validation.find_faults(document)] == fields
    assert validation.find_faults(BASE) == []


@pytest.mark.parametrize(
    ("document", "fields"),
    [
        (BASE, []),
        (edits.withdraw_key(BASE, "bank", "main").ok_value, []),
        (changed(stopped_targets=()), []),
        (edits.grant_key(BASE, "bank", "x", "c" * 64).ok_value, ["keys"]),
        (edits.stop_target(BASE, "10.0.0.2:80").ok_value, ["stopped_targets"]),
    ],
)
def test_a_posted_document_cannot_change_keys_or_stopped_targets(
    document, fields
):
    """Guards against an old copy that restores a withdrawn key."""
    found = validation.find_change_faults(document, BASE)
    assert [fault.field for fault in found] == fields


@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
def test_a_document_with_an_infinite_number_is_refused(field):
    """Guards against a stored document that no node can read back.

    JSON has no infinities: they were written as null.
    """
    content = dataclasses.asdict(BASE)
    content["organisations"][0][field] = float("inf")
    checked = configuration_models.check_posted(content)
    assert [fault.field for fault in checked.err_value] == [field]
