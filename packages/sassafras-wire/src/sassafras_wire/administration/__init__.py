"""Models of the administration API, shared by the node and the command line."""
