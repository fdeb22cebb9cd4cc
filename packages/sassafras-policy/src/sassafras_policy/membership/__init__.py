"""Which nodes and targets exist, and which of them are alive."""
