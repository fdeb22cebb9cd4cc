"""The configuration document as JSON."""
