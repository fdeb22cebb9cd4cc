"""HTTP/1.1 client and server connections, based on h11."""
