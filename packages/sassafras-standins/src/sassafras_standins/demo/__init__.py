"""A demonstration on loopback with real processes."""
