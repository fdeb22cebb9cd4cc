"""Rates of organisations: admission and exchange of tokens."""
