"""Epochs of the roster: who joins, who is removed, when one is settled."""

import dataclasses

import pytest

from sassafras_base import errors
from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters
from sassafras_policy.membership import roster_holder
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
    """Guards against shares of nodes that cannot use or give them."""
    found = rosters.joining(_roster("a"), [_record("b", **changes)])
    assert bool(found) is joins


def test_an_epoch_is_settled_only_when_every_member_has_reported_it():
    """Guards against a share that grows before another has shrunk."""
    roster = _roster("a", "b", epoch=4)
    assert not roster.is_settled({"a": 4})
    assert not roster.is_settled({"a": 4, "b": 3})
    assert roster.is_settled({"a": 4, "b": 5})


def test_the_next_epoch_names_the_settled_one_before_it():
    """Guards against nodes that skip an epoch and miss its smaller shares."""
    following = _roster("a", "b", epoch=4).with_members(
        [rosters.Member("c", "desk")]
    )
    assert following.epoch == 5
    assert following.node_ids == ("a", "b", "c")
    assert following.earlier == (("a", "b"),)


def test_forgetting_before_an_epoch_is_settled_keeps_all_earlier_ones():
    """Guards against dropping an epoch that a paused node still uses."""
    joined = _roster("a", "b", epoch=4).with_members(
        [rosters.Member("c", "desk")]
    )
    following = joined.without_member("c", settled=False)
    assert following.node_ids == ("a", "b")
    assert following.forgotten == ("c",)
    assert following.earlier == (("a", "b"), ("a", "b", "c"))


def test_a_forgotten_node_joins_again_only_after_it_applied_its_removal():
    """Guards against a wrongly forgotten node that still uses its share."""
    roster = _roster("a", epoch=6, forgotten=("b",))
    assert not rosters.joining(roster, [_record("b", roster_epoch=5)])
    back = rosters.joining(roster, [_record("b", roster_epoch=6)])
    assert roster.with_members(back).forgotten == ()


def test_the_holder_keeps_the_higher_epoch():
    """Guards against a stale peer that takes an epoch back."""
    holder = roster_holder.RosterHolder()
    assert holder.offer(_roster("a", epoch=2))
    assert not holder.offer(_roster("a", "b", epoch=1))
    assert holder.current.node_ids == ("a",)


def test_a_roster_survives_its_encoding():
    """Guards against fields that are lost between nodes."""
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
    """Guards against a damaged value that replaces the roster in force."""
    with pytest.raises(errors.InvalidInputError):
        roster_models.decode(content, "store")
