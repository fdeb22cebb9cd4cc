"""Idempotency records of requests that must never run twice."""
