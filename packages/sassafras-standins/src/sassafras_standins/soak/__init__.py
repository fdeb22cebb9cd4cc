"""Randomized faults against real nodes, and the promises they must keep."""
