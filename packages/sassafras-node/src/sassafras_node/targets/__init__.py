"""The target beside the node: announcements, its calls, connections to it."""
