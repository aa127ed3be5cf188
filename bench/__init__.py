"""Benchmarks in virtual time."""
