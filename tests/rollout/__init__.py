"""Tests of the version moves."""
