"""Control links and calls between nodes."""
