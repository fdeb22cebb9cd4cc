"""The node process that runs next to each target."""
