"""Randomized fault soak of the entry instances."""
