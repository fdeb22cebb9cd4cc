"""Neighbours, failure detection and the roster."""
