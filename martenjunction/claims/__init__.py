"""Prevents requests with an idempotency key from running twice."""
