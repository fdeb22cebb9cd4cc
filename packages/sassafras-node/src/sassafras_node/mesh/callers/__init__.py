"""Requests of callers and of the local target."""
