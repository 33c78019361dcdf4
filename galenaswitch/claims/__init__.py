"""Idempotency-key claims, which let each key run at most once."""
