"""Links to other nodes."""
