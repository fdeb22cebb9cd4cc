"""The path of a call; called by sessions."""
