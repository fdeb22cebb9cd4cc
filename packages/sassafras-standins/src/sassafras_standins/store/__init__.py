"""A stand-in for the platform's key-value service."""
