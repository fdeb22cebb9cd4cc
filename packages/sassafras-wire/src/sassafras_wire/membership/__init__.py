"""Encoding of what nodes agree on about each other."""
