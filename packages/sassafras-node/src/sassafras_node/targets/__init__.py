"""The local target: its announcements, its calls, connections to it."""
