"""A node whose peers, routes and keys come from a shared key-value store."""
