"""Encoding of the roster that the nodes agree on."""
