"""Settings files in INI format, validated as a whole at start-up."""
