"""Membership of the fleet: nodes, their targets and their liveness."""
