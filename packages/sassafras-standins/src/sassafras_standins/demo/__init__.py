"""A demonstration of a fleet on loopback, with real processes."""
