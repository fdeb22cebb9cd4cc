"""Measures how cost grows with size, in one process; see docs/CAPACITY.md."""
