"""How a membership table merges claims about nodes."""

import dataclasses

import pytest

from sassafras_policy.membership import records
from sassafras_policy.membership import table as tables

ALIVE, SUSPECT, DEAD, LEFT = records.Status


def _record(node_id, incarnation=1, version=1, status=ALIVE, **fields):
    return records.NodeRecord(
        node_id, "zone-a", incarnation, version, status, **fields
    )


def _table(*known):
    table = tables.MembershipTable(_record("own"))
    table.merge(known)
    return table


@pytest.mark.parametrize(
    "known, claim, expected",
    [
        ((1, 1, ALIVE), (1, 1, SUSPECT), (1, 1, SUSPECT)),
        ((1, 1, SUSPECT), (1, 1, DEAD), (1, 1, DEAD)),
        ((1, 1, DEAD), (1, 1, ALIVE), (1, 1, DEAD)),
        ((1, 1, DEAD), (1, 2, ALIVE), (1, 2, ALIVE)),
        ((1, 9, DEAD), (2, 1, ALIVE), (2, 1, ALIVE)),
        ((2, 1, ALIVE), (1, 9, DEAD), (2, 1, ALIVE)),
        ((1, 2, ALIVE), (1, 1, DEAD), (1, 2, ALIVE)),
        ((1, 1, ALIVE), (1, 2, LEFT), (1, 2, LEFT)),
        ((1, 2, LEFT), (1, 1, ALIVE), (1, 2, LEFT)),
        ((1, 2, LEFT), (2, 1, ALIVE), (2, 1, ALIVE)),
        # A node seen alive may still refute a claim of death.
        ((1, 1, ALIVE), (1, 1, DEAD), (1, 1, SUSPECT)),
        ((1, 1, ALIVE), (1, 3, DEAD), (1, 3, SUSPECT)),
        # An unknown node that is dead or has left gets no record.
        (None, (1, 1, DEAD), None),
        (None, (1, 1, LEFT), None),
        (None, (1, 1, SUSPECT), (1, 1, SUSPECT)),
    ],
)
def test_claims_about_a_peer(known, claim, expected):
    """Guards against stale claims that win and newer ones that lose."""
    table = _table()
    if known:
        table.merge([_record("peer", *known[:2])])
        if known[2] is not ALIVE:
            table.mark("peer", known[2])
    table.merge([_record("peer", *claim)])
    found = table.get("peer")
    assert (found.precedence if found else None) == expected


@pytest.mark.parametrize(
    "claim",
    [(5, 3, SUSPECT), (5, 3, DEAD), (5, 4, DEAD), (6, 1, ALIVE), (9, 9, LEFT)],
)
def test_a_node_refutes_claims_about_itself(claim):
    """Guards against a live node that others keep considering dead."""
    table = tables.MembershipTable(_record("own", 5, 3))
    table.merge([_record("own", *claim)])
    assert table.own.status is ALIVE
    assert table.own.precedence > claim


def test_a_refutation_ends_a_disputed_death():
    """Guards against a node that is declared dead after its refutation."""
    table = _table(_record("peer"))
    table.merge([_record("peer", status=DEAD)])
    assert list(table.disputed) == ["peer"]
    table.merge([_record("peer", version=2)])
    assert table.disputed == {}
    assert table.get("peer").status is ALIVE


def test_an_old_record_does_not_restore_a_forgotten_node():
    """Guards against records of gone nodes that circulate forever."""
    table = _table(_record("peer", version=4))
    table.mark("peer", SUSPECT)
    table.mark("peer", DEAD)
    table.forget("peer")
    assert table.get("peer") is None
    table.merge([_record("peer", version=4, status=DEAD)])
    assert table.get("peer") is None
    # A peer that reports the node alive gets back the record of its death.
    sequence = table.sequence
    table.merge([_record("peer", version=4)])
    assert table.get("peer").status is DEAD
    sent, _ = table.changes_since(sequence, 10)
    assert [record.node_id for record in sent] == ["peer"]


def test_a_forgotten_node_that_restarts_is_alive():
    """Guards against an address that cannot be reused."""
    table = _table(_record("peer", version=4))
    table.merge([_record("peer", version=5, status=LEFT)])
    table.forget("peer")
    table.merge([_record("peer", incarnation=2)])
    assert table.get("peer").status is ALIVE
    assert table.forgotten == []


def test_changes_are_returned_once_and_in_bounded_batches():
    """Guards against messages that grow with the fleet."""
    table = _table(*(_record(f"peer-{number}") for number in range(25)))
    seen = []
    sequence = 0
    while sequence < table.sequence:
        batch, sequence = table.changes_since(sequence, 10)
        assert 0 < len(batch) <= 10
        seen += [record.node_id for record in batch]
    assert sorted(seen) == sorted(record.node_id for record in table.all)
    assert table.changes_since(sequence, 10) == ([], sequence)
    table.merge([_record("peer-3", version=2)])
    changed, _ = table.changes_since(sequence, 10)
    assert [record.node_id for record in changed] == ["peer-3"]


def test_tables_that_exchange_everything_in_any_order_agree():
    """Guards against tables that differ permanently."""
    claims = [
        _record("a", 1, 2, SUSPECT),
        _record("a", 1, 3, ALIVE),
        _record("b", 1, 1, DEAD),
        _record("b", 2, 1, ALIVE),
        _record("c", 1, 5, LEFT),
    ]
    known = [_record(name) for name in "abc"]
    one, other = _table(*known), _table(*known)
    one.merge(claims)
    other.merge(reversed(claims))
    views = [
        {r.node_id: r for r in table.all if r.node_id != "own"}
        for table in (one, other)
    ]
    assert views[0] == views[1]


def test_the_ring_version_changes_only_with_the_set_of_peers():
    """Guards against links that are rebuilt at each change of a record."""
    table = _table(_record("peer"))
    version = table.ring_version
    table.merge([dataclasses.replace(_record("peer", version=2), slots=9)])
    table.mark("peer", SUSPECT)
    assert table.ring_version == version
    table.mark("peer", DEAD)
    assert table.ring_version > version


def test_targets_of_a_service_follow_every_change_of_a_record():
    """Guards against calls to a target that changed service or is gone."""
    serving = records.TargetState.SERVING

    def serving_record(node_id, service, version=1):
        return _record(
            node_id, version=version, service=service, target_state=serving
        )

    table = tables.MembershipTable(serving_record("a", "desk"))
    table.merge([serving_record("b", "desk"), serving_record("c", "ledger")])
    assert {r.node_id for r in table.serving("desk")} == {"a", "b"}
    table.merge([serving_record("b", "ledger", version=2)])
    assert {r.node_id for r in table.serving("desk")} == {"a"}
    assert {r.node_id for r in table.serving("ledger")} == {"b", "c"}
    table.mark("c", records.Status.DEAD)
    table.forget("c")
    assert {r.node_id for r in table.serving("ledger")} == {"b"}
    assert table.serving("nothing") == []
