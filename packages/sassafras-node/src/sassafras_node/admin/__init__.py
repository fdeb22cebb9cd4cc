"""The administration API, by which operators use any node."""
