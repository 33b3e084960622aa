"""Issued idempotency keys and the outcomes of requests."""
