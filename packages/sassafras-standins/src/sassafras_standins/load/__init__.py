"""Callers that make load."""
