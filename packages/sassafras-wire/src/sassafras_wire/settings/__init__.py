"""Settings files in INI, checked whole at start."""
