"""A stand-in for the targets of services."""
