"""Log lines of nodes, and what they say of one request."""
