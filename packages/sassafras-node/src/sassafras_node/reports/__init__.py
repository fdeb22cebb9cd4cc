"""What the node recorded: metrics and the service-level burn report."""
