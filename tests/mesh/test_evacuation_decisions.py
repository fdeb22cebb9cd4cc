"""What a node knows of evacuated availability zones, without a network."""

import itertools
import random

import pytest

from sassafras_base import errors
from sassafras_platform import evacuation as evacuation_format
from sassafras_policy.mesh import evacuation
from sassafras_policy.mesh import fleet as fleets
from sassafras_policy.mesh import targets


def _change(zone, is_evacuated, revision):
    return evacuation.ZoneChange(zone, is_evacuated, revision)


def test_a_node_that_has_just_started_closes_its_zone_until_it_knows():
    """Guards against a restart in the middle of an evacuation."""
    state = evacuation.EvacuationState("a", is_expected=True)
    assert state.closes_own_zone
    state.replace((), 4)
    assert not state.closes_own_zone
    state.replace(("a",), 5)
    assert state.closes_own_zone


def test_a_deployment_without_evacuations_is_served_from_the_start():
    """Guards against a change for deployments that state no bound."""
    state = evacuation.EvacuationState("a", is_expected=False)
    assert not state.closes_own_zone
    # The key of the zone holds all the same.
    state.replace(("a",), 5)
    assert state.closes_own_zone


def test_the_end_of_an_evacuation_is_told_once():
    """Guards against targets that are taken for cold again and again."""
    state = evacuation.EvacuationState("a", is_expected=True)
    assert not state.replace((), 1)
    difference = state.apply_changes([_change("a", True, 2)], 2)
    assert difference == evacuation.Difference(begun=frozenset("a"))
    assert not state.apply_changes([], 9)
    assert state.closes_own_zone
    difference = state.apply_changes([_change("a", False, 10)], 10)
    assert difference == evacuation.Difference(ended=frozenset("a"))
    assert not state.closes_own_zone
    assert not state.replace((), 10)


def test_an_older_state_of_another_reader_changes_nothing():
    """Guards against an evacuation that a late update undoes or repeats."""
    state = evacuation.EvacuationState("a", is_expected=True)
    state.replace(("b",), 7)
    assert not state.replace((), 6)
    assert state.zones == {"b"}
    # This reader's own watch is behind what another one has passed on.
    assert not state.apply_changes(
        [_change("b", False, 5), _change("c", True, 6)], 6
    )
    assert (state.zones, state.revision) == ({"b"}, 7)


@pytest.mark.parametrize("seed", range(20))
def test_readers_agree_in_whatever_order_they_learn(seed):
    """Guards against nodes that keep different sets of zones."""
    rng = random.Random(seed)
    history = []
    present = set()
    complete = {1: frozenset()}
    for revision in range(2, 40):
        zone = rng.choice("abc")
        history.append(_change(zone, zone not in present, revision))
        present ^= {zone}
        complete[revision] = frozenset(present)
    state = evacuation.EvacuationState("a", is_expected=True)
    state.replace((), 1)
    watched = 1
    for _ in range(60):
        until = rng.randrange(2, 40)
        if rng.random() < 0.5:
            state.replace(complete[until], until)
        elif until > watched:
            state.apply_changes(
                [c for c in history if watched < c.revision <= until], until
            )
            watched = until
        assert state.zones == complete[state.revision]


def _entry(number, zone, service="front"):
    return targets.NodeEntry(
        node_id=f"n{number}",
        incarnation=1,
        availability_zone=zone,
        call_address="",
        link_address="",
        target=targets.Announcement(
            f"i{number}", service, "", 8, targets.State.READY, 0.0, 1, 1
        ),
    )


def test_no_target_of_an_evacuated_zone_is_chosen():
    """Guards against calls that the node beside the target has to refuse."""
    fleet = fleets.Fleet("own", 2.0)
    for number, zone in enumerate("aabb"):
        fleet.update(_entry(number, zone))
    assert len(fleet.serving("front")) == 4
    fleet.set_evacuated(frozenset("a"))
    assert {e.node_id for e in fleet.serving("front")} == {"n2", "n3"}
    assert fleet.serving("front", "a") == []
    # A target that is announced during the evacuation, and one that changes.
    fleet.update(_entry(4, "a"))
    assert len(fleet.serving("front")) == 2
    fleet.set_evacuated(frozenset())
    assert len(fleet.serving("front")) == 5


def test_a_service_is_named_if_the_last_zone_with_its_targets_is_emptied():
    """Guards against an outage of a service that no line explains."""
    places = [("front", "a"), ("front", "b"), ("back", "a")]
    assert evacuation.services_without_target(places, frozenset("a")) == {
        "back"
    }
    assert not evacuation.services_without_target(places, frozenset("bc"))
    assert not evacuation.services_without_target([], frozenset("a"))


def test_the_key_names_the_zone():
    """Guards against other keys of the operator that evacuate a zone."""
    zone_of = evacuation_format.zone_of
    assert zone_of("op/evacuate/attica-a") == "attica-a"
    assert zone_of("op/evacuate/") == ""
    assert zone_of("op/config") is None
    assert zone_of("op/evacuated") is None


def test_values_that_are_no_object_are_reported():
    """Guards against a mistyped request that nobody notices."""
    evacuation_format.check("op/evacuate/a", b"{}")
    evacuation_format.check("op/evacuate/a", b'{"Until": 4}')
    for value in (b"", b"[]", b"\xff\x00", b"true", b"{"):
        with pytest.raises(errors.InvalidInputError):
            evacuation_format.check("op/evacuate/a", value)


def test_the_two_counts_of_a_change_do_not_depend_on_its_batch():
    """Guards against a zone that is emptied and taken back in one response."""
    changes = [_change("a", True, 2), _change("a", False, 3)]
    for batches in ([changes], [[c] for c in changes]):
        state = evacuation.EvacuationState("a", is_expected=True)
        state.replace((), 1)
        for batch in batches:
            state.apply_changes(batch, batch[-1].revision)
        assert not state.closes_own_zone
    assert list(itertools.chain(*batches)) == changes
