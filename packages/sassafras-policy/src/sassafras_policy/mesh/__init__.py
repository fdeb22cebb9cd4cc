"""Decisions of a node that gets routes, targets and peers from a store."""
