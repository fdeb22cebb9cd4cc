"""The local target."""
