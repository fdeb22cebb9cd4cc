"""Handling of one call; used by the sessions."""
