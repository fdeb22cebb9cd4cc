"""Measures the figures that docs/design.md bounds, with real processes."""
