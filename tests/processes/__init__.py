"""Tests with real processes: faults, restarts and version moves."""
