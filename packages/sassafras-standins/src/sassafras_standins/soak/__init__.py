"""Soak tests: random faults on real nodes, with invariants checked after."""
