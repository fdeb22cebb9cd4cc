"""Decisions of a node whose routes, targets and peers come from a store."""
