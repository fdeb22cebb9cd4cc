"""Counts what a visit of a call to a node costs, without timing it."""
