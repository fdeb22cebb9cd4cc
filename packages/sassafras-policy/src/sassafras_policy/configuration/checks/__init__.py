"""Checks for valid configuration entries that probably are mistakes."""
