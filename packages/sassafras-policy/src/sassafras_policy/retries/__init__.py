"""Retry policies, their budgets and the detection of repeated sub-calls."""
