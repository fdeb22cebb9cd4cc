"""Idempotency records, which keep requests from running twice."""
