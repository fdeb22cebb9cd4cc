"""Data classes of a call, its context and its outcome."""
