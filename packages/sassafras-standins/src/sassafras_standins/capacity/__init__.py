"""Slopes for docs/CAPACITY.md, measured in one process without a network."""
