"""Tests with real processes and faults."""
