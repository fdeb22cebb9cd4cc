"""Settings of the garbage collector."""

import gc

import pytest

from sassafras_node import gc_settings


@pytest.fixture(autouse=True)
def _restore():
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    gc.enable()


def test_collections_are_enabled_after_the_start():
    """Guards against a node whose memory grows with each reference cycle.

    The platform's program disables collections while it imports its modules.
    """
    gc.disable()
    gc_settings.apply()
    assert gc.isenabled()
    assert gc.get_freeze_count() > 0
