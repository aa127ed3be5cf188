"""Tests of idempotency claims."""
