"""Requests of callers and of the target beside the node."""
