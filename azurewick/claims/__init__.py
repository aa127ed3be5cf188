"""Idempotency claims, so that a non-repeatable request runs at most once."""
