"""Stand-ins for the platform, targets and callers; development only."""
