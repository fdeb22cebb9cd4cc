"""Roster epochs: joining, removal and when an epoch is settled."""

import dataclasses

import pytest

from sassafras_base import errors
from sassafras_policy.membership import active_roster
from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters
from sassafras_wire.membership import rosters as roster_models


def _record(node_id, **changes):
    return dataclasses.replace(
        records.NodeRecord(
            node_id=node_id,
            availability_zone="zone-a",
            incarnation=1,
            version=1,
            status=records.Status.ALIVE,
            service="desk",
            target_state=records.TargetState.SERVING,
        ),
        **changes,
    )


def _roster(*node_ids, epoch=1, **changes):
    members = tuple(rosters.Member(node_id, "desk") for node_id in node_ids)
    return rosters.Roster(epoch=epoch, members=members, **changes)


@pytest.mark.parametrize(
    ("changes", "joins"),
    [
        ({}, True),
        ({"status": records.Status.SUSPECT}, False),
        ({"status": records.Status.DEAD}, False),
        ({"target_state": records.TargetState.ABSENT}, False),
        ({"target_state": records.TargetState.LEAVING}, False),
    ],
)
def test_only_live_nodes_with_a_target_join(changes, joins):
    """Guards against shares of nodes that can neither use nor give tokens."""
    found = rosters.joining_members(_roster("a"), [_record("b", **changes)])
    assert bool(found) is joins


def test_an_epoch_is_settled_only_when_every_member_has_reported_it():
    """Guards against a share that grows before another has shrunk."""
    roster = _roster("a", "b", epoch=4)
    assert not roster.is_settled({"a": 4})
    assert not roster.is_settled({"a": 4, "b": 3})
    assert roster.is_settled({"a": 4, "b": 5})


def test_the_next_epoch_names_the_settled_one_before_it():
    """Guards against nodes that skip an epoch with smaller shares."""
    next_roster = _roster("a", "b", epoch=4).with_members(
        [rosters.Member("c", "desk")]
    )
    assert next_roster.epoch == 5
    assert next_roster.node_ids == ("a", "b", "c")
    assert next_roster.earlier == (("a", "b"),)


def test_forgetting_before_an_epoch_is_settled_keeps_all_earlier_ones():
    """Guards against dropping an epoch that a paused node still uses."""
    extended = _roster("a", "b", epoch=4).with_members(
        [rosters.Member("c", "desk")]
    )
    next_roster = extended.without_member("c", settled=False)
    assert next_roster.node_ids == ("a", "b")
    assert next_roster.forgotten == ("c",)
    assert next_roster.earlier == (("a", "b"), ("a", "b", "c"))


def test_a_forgotten_node_joins_again_only_after_it_applied_its_removal():
    """Guards against a wrongly forgotten node that still uses its share."""
    roster = _roster("a", epoch=6, forgotten=("b",))
    assert not rosters.joining_members(roster, [_record("b", roster_epoch=5)])
    rejoining = rosters.joining_members(roster, [_record("b", roster_epoch=6)])
    assert roster.with_members(rejoining).forgotten == ()


def test_the_holder_keeps_the_higher_epoch():
    """Guards against a stale peer that restores an old epoch."""
    holder = active_roster.ActiveRoster()
    assert holder.offer(_roster("a", epoch=2))
    assert not holder.offer(_roster("a", "b", epoch=1))
    assert holder.current.node_ids == ("a",)


def test_a_roster_survives_its_encoding():
    """Guards against fields that the encoding loses."""
    roster = _roster(
        "a", "b", epoch=3, forgotten=("c",), earlier=(("a",), ("a", "c"))
    )
    assert roster_models.decode(roster_models.encode(roster), "x") == roster


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{}",
        b'{"epoch": 0}',
        b'{"epoch": 2, "members": [{"node_id": "a", "service": "s"},'
        b' {"node_id": "a", "service": "s"}]}',
    ],
)
def test_an_invalid_roster_is_refused(content):
    """Guards against a damaged value that replaces the current roster."""
    with pytest.raises(errors.InvalidInputError):
        roster_models.decode(content, "store")
