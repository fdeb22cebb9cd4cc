"""Messages and connections between the nodes of a mesh."""
