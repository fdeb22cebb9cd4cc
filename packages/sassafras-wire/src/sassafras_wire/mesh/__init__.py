"""Messages between the nodes of a mesh."""
