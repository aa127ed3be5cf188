"""Tests of the entry instance."""
