"""Metrics of the node and the service-level burn report of the fleet."""
