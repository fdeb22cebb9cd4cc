"""HTTP/1.1 on h11, for both sides of a connection."""
