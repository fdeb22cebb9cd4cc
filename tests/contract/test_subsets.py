"""Subsets of a large service's targets that one node calls."""

import collections

from sassafras_policy.balancing import subsets
from sassafras_policy.membership import records


def _serving(count):
    return [
        records.NodeRecord(
            node_id=f"10.0.{n // 256}.{n % 256}:7401",
            availability_zone="zone-a",
            incarnation=1,
            version=1,
            status=records.Status.ALIVE,
        )
        for n in range(count)
    ]


def test_a_small_service_is_called_as_a_whole():
    """Guards against subsets that leave out targets without need."""
    serving = _serving(subsets.MAX_SUBSET_SIZE)
    assert list(subsets.choose("caller", serving)) == serving


def test_a_subset_is_bounded_and_holds_the_node_itself():
    """Guards against connection counts that grow with the service."""
    serving = _serving(200)
    own_id = serving[57].node_id
    chosen = subsets.choose(own_id, serving)
    assert len(chosen) == subsets.MAX_SUBSET_SIZE
    assert serving[57] in chosen


def test_a_target_that_leaves_changes_one_member_only():
    """Guards against a reconnection of all nodes at each restart."""
    serving = _serving(200)
    before = {r.node_id for r in subsets.choose("caller", serving)}
    left = next(iter(before))
    after = {
        r.node_id
        for r in subsets.choose(
            "caller", [r for r in serving if r.node_id != left]
        )
    }
    assert len(before - after) == 1


def test_the_subsets_of_many_nodes_cover_the_service_evenly():
    """Guards against targets that no node calls, or that all nodes call."""
    serving = _serving(100)
    counts = collections.Counter(
        record.node_id
        for caller in range(500)
        for record in subsets.choose(f"caller-{caller}", serving)
    )
    # 500 callers times 20 over 100 targets is 100 for each.
    assert len(counts) == 100
    assert max(counts.values()) < 150
    assert min(counts.values()) > 50
