"""Which target of a service gets a call."""
