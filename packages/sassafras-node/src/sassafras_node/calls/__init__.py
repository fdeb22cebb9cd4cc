"""Handling of one call at a node."""
