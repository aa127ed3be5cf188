"""Filters of the requests from callers."""
