"""Tests of the object API client."""
