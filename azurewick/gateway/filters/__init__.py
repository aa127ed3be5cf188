"""Filters that check each request and fill in its context."""
