"""Service-level objectives and burn rates."""
