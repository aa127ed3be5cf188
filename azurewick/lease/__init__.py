"""Leases with fencing numbers, so that one controller acts at a time."""
