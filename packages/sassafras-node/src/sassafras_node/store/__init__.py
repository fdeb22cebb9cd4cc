"""The node's use of the platform's key-value service."""
