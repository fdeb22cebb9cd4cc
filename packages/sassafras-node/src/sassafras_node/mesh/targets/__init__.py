"""The target beside the node."""
