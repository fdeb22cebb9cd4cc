"""A stand-in for a target."""
