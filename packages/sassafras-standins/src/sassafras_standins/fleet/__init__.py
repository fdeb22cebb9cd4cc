"""Fleets of real node processes with stand-ins, all on loopback."""
