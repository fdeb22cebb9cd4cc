"""The registry rejects duplicate and unknown names."""

import pytest

from sassafras_base import registry


def test_a_duplicate_name_is_refused_at_registration():
    """Guards against two implementations silently replacing each other."""
    shapes = registry.Registry("shape")
    shapes.register("round")(1)
    with pytest.raises(registry.DuplicateNameError, match="'round'"):
        shapes.register("round")(2)
    assert shapes.get("round") == 1


def test_an_unknown_name_lists_the_known_ones():
    """Guards against error messages without the allowed names."""
    shapes = registry.Registry("shape")
    shapes.register("round")(1)
    with pytest.raises(registry.UnknownNameError, match="known: round"):
        shapes.get("square")
