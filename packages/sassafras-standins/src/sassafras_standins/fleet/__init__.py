"""Starts fleets of real node processes with their stand-ins on loopback."""
