"""Benchmarks of azurewick; all but capacity run in virtual time."""
