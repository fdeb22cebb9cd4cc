"""The path of one call through a node."""
