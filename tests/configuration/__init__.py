"""Tests of the fleet configuration."""
