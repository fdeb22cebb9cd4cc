"""Tasks that keep the node and the key-value store in agreement."""
