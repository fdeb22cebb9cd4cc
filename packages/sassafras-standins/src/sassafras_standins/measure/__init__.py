"""Measurements of the stated bounds, on real processes on loopback."""
