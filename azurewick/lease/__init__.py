"""Leases with fencing numbers for controllers."""
