"""A short soak test, with each seed that has failed before."""

import pytest

from sassafras_standins.soak import faults
from sassafras_standins.soak import runner

pytestmark = pytest.mark.processes

# Each seed that failed is added here with a comment on the cause.
# Seed, machines, seconds.
SEEDS = [
    (1, 4, 6.0),
    # SIGHUP ended a node that was still importing its modules.
    (1258157059, 3, 4.0),
]


@pytest.mark.parametrize(("seed", "machines", "seconds"), SEEDS)
async def test_invariants_hold_under_overlapping_faults(
    seed, machines, seconds, tmp_path
):
    """Guards against invariants that hold under a single fault only."""
    result = await runner.run(
        seed,
        machines=machines,
        seconds=seconds,
        settings="deploy/node.ini",
        folder=tmp_path,
    )
    assert result.violations == []
    assert result.statuses[200] > 0


def test_every_kind_of_fault_is_registered():
    """Guards against a fault that soak runs no longer inject."""
    assert len(faults.faults.names) == 11
    assert list(faults.drills.names) == ["store-returns"]
