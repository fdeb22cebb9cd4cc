"""Foundations shared by every package: registries, errors, clocks, logs."""
