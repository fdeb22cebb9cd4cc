"""Models of the administration API, for the node and the command line."""
