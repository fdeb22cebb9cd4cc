"""How often and when a call may be tried again."""
