"""Routing, announcements, fleet and budgets of a mesh node, without sockets."""

import collections
import functools

import hypothesis
from hypothesis import strategies

from sassafras_base import hashing
from sassafras_policy.configuration import document
from sassafras_policy.mesh import configuration
from sassafras_policy.mesh import fleet
from sassafras_policy.mesh import freshness
from sassafras_policy.mesh import retry_budget
from sassafras_policy.mesh import routing
from sassafras_policy.mesh import targets

_LIMITS = configuration.CallerLimits(16384, 1 << 20, 3.0, 15.0)


def _route(name, prefix, shares=(("front", 1.0),), host="shop.example"):
    return configuration.Route(
        name=name,
        host=host,
        prefix=prefix,
        is_idempotent=True,
        timeout_s=1.0,
        priority=0,
        shares=tuple(configuration.Share(s, w) for s, w in shares),
        max_targets=2,
        is_open=False,
    )


def _table(*routes, organisations=()):
    return routing.RoutingTable(
        configuration.Configuration(1, routes, organisations, _LIMITS)
    )


def test_the_longest_prefix_of_the_host_selects_the_route():
    """Guards against routes of another host and matches of partial segments."""
    table = _table(
        _route("all", "/"),
        _route("a", "/a/"),
        _route("ab", "/a/b/"),
        _route("other", "/a/b/c/", host="other.example"),
    )
    assert table.find("shop.example", "/a/b/c/d").name == "ab"
    assert table.find("SHOP.example", "/a/bc").name == "a"
    assert table.find("shop.example", "/ab?x=/a/").name == "all"
    assert table.find("none.example", "/a/") is None


def test_weights_hold_in_every_short_window():
    """Guards against shares that only hold on average."""
    table = _table(_route("w", "/", (("x", 90.0), ("y", 10.0))))
    route = table.find("shop.example", "/")
    services = [table.service_for(route) for _ in range(400)]
    for start in range(0, 400, 20):
        window = collections.Counter(services[start : start + 20])
        assert window["y"] == 2


def test_keys_are_found_by_their_digest_only():
    """Guards against keys stored in plain text."""
    account = document.Organisation(
        "acme", 1.0, 1.0, (document.Key("k", hashing.digest("secret")),)
    )
    table = _table(organisations=(configuration.Organisation(account, None),))
    assert table.organisation_of("secret").account.name == "acme"
    assert table.organisation_of("other") is None
    assert "secret" not in repr(account)


def _announcement(sequence, *, started_ms=1000, state="ready", target_id="i"):
    return targets.Announcement(
        target_id,
        "front",
        "h:1",
        8,
        targets.State(state),
        0,
        sequence,
        started_ms,
    )


def _offer(register, announcement, now=0.0):
    return register.offer(announcement, now)


def _mark_gone(register, target_id, departed_ms=5000, forgotten_at=9.0):
    return register.mark_gone(target_id, departed_ms, forgotten_at)


def test_late_announcements_are_ignored():
    """Guards against a target that a delayed message reinstates."""
    register = targets.LocalTargetRegister()
    new = functools.partial(_announcement, started_ms=2000, target_id="new")
    assert _offer(register, new(5))
    assert not _offer(register, _announcement(9, target_id="old"))
    assert not _offer(register, new(4))
    assert _mark_gone(register, "new")
    assert not _offer(register, new(6))
    assert _offer(register, new(1, started_ms=3000))


def test_a_deregistration_of_an_earlier_target_is_ignored():
    """Guards against a late message that removes the new target."""
    register = targets.LocalTargetRegister()
    _offer(register, _announcement(1, target_id="new"))
    assert not _mark_gone(register, "old")
    assert register.current.state is targets.State.READY


def test_a_deregistration_before_any_announcement_is_remembered():
    """Guards against a target that its last, late announcement reinstates.

    Its next start under the same id is another instance, and after some time
    no announcement can be late any more.
    """
    register = targets.LocalTargetRegister()
    assert not _mark_gone(register, "i", departed_ms=5000, forgotten_at=9.0)
    assert not _offer(register, _announcement(7, started_ms=5000), now=8.9)
    assert register.current is None
    assert _offer(register, _announcement(1, started_ms=5001), now=1.0)
    other = targets.LocalTargetRegister()
    _mark_gone(other, "i", departed_ms=5000, forgotten_at=9.0)
    assert _offer(other, _announcement(7, started_ms=4000), now=9.0)


@hypothesis.given(
    order=strategies.permutations(["ready-1", "ready-2", "departure"]),
    restart_at=strategies.integers(1, 3),
    departs_by=strategies.sampled_from(["leaving", "gone"]),
)
@hypothesis.settings(derandomize=True, max_examples=100)
def test_no_order_and_no_restart_reinstates_a_target(
    order, restart_at, departs_by
):
    """Guards against a target that is in use after its departure (DRAIN).

    A review found it reinstated by a late announcement after its node had been
    killed: the new process knew nothing of what the old one had acknowledged.
    """
    known = _announcement(1, started_ms=500, target_id="earlier")
    register = targets.LocalTargetRegister()
    register.restore(known)
    has_departed = False
    for position, message in enumerate(order):
        if position == restart_at:
            stored = register.current
            register = targets.LocalTargetRegister()
            register.restore(stored)
        if message == "departure":
            has_departed = True
            if departs_by == "gone":
                _mark_gone(register, "i")
            else:
                _offer(register, _announcement(3, state="leaving"))
        else:
            _offer(register, _announcement(int(message[-1])))
        current = register.current
        if (
            has_departed
            and current.target_id == "i"
            # An unknown target that deregisters leaves nothing to be stored.
            and not (departs_by == "gone" and order[0] == "departure")
        ):
            assert current.state is not targets.State.READY


def test_a_node_that_stops_after_its_target_has_left_is_forgotten():
    """Guards against shares of rates that are held for nodes that are gone.

    Their entries stay in the store for the next process. While they counted as
    nodes until their leases expired, requests below the rate were refused.
    """
    members = fleet.Fleet("own", 2.5)
    for node_id, is_leaving, state in (
        ("gone", True, "gone"),
        ("left", True, "leaving"),
        ("restarting", True, "ready"),
        ("emptied", False, "gone"),
    ):
        members.update(
            targets.NodeEntry(
                node_id,
                1,
                "zone-a",
                "h:1",
                "h:2",
                is_leaving=is_leaving,
                target=_announcement(1, state=state),
            )
        )
    members.lapse_departed(10.0)
    assert members.expire(12.4) == []
    assert sorted(members.expire(12.5)) == ["gone", "left"]
    assert len(members) == 2


def test_keys_are_not_trusted_beyond_the_revocation_bound():
    """Guards against a process that accepts old keys after a suspension."""
    proof = freshness.Freshness(revocation_s=5.0)
    assert not proof.permits_keys(0.0)
    proof.confirm(10.0)
    proof.confirm(8.0)
    assert proof.permits_keys(13.9)
    assert not proof.permits_keys(14.0)


def _entry(node_id, incarnation=1, service="front"):
    return targets.NodeEntry(
        node_id,
        incarnation,
        "zone",
        "h:1",
        "h:2",
        False,
        targets.Announcement(
            "i", service, "h:3", 8, targets.State.READY, 0, 1, 1
        ),
    )


def test_a_lapsed_entry_stays_until_live_nodes_could_write_it_again():
    """Guards against the loss of all entries in an outage of the store."""
    members = fleet.Fleet("own", rewrite_timeout_s=2.5)
    members.update(_entry("own"))
    members.update(_entry("a"))
    members.update(_entry("b"))
    members.keep_only(set(), 100.0)
    assert members.expire(102.0) == []
    assert len(members.serving("front")) == 2
    members.update(_entry("a"))
    assert members.expire(102.5) == ["b"]
    assert [e.node_id for e in members.serving("front")] == ["a"]


def test_an_entry_of_a_previous_incarnation_is_ignored():
    """Guards against a late message from before a node's restart."""
    members = fleet.Fleet("own", rewrite_timeout_s=2.5)
    members.update(_entry("a", incarnation=2, service="back"))
    members.update(_entry("a", incarnation=1))
    assert members.serving("front") == []


def test_the_retries_of_all_nodes_stay_within_the_shared_budget():
    """Guards against retries that add up over the fleet."""
    nodes = 17
    budgets = [retry_budget.RetryBudget(0.2, 48.0, 10.0) for _ in range(nodes)]
    retries = requests = 0
    for budget in budgets:
        budget.set_node_count(nodes)
        for number in range(100):
            budget.count_request("front", number / 10)
            requests += 1
            retries += budget.take("front", number / 10)
    assert 0 < retries <= 0.2 * requests + 48
