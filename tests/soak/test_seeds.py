"""A short run of the soak, and each seed that ever failed."""

import pytest

from sassafras_standins.soak import faults
from sassafras_standins.soak import runs

pytestmark = pytest.mark.processes

# A seed that failed is added with a line on its cause.
SEEDS = [1]


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_overlapping_faults(seed, tmp_path):
    """Guards against promises that hold under one fault at a time only."""
    result = await runs.run(
        seed,
        machines=4,
        seconds=6.0,
        settings="deploy/node.ini",
        folder=tmp_path,
    )
    assert result.broken == []
    assert result.statuses[200] > 0


def test_every_kind_of_fault_can_be_drawn():
    """Guards against a fault that no run plays any more."""
    assert len(faults.faults.names) == 11
