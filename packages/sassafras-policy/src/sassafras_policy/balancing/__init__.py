"""Load balancing: which target of a service gets a call."""
