"""The node process that runs beside each target."""
