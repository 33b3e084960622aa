"""Issued idempotency keys and records of request outcomes."""
