"""Tests of the poison detector."""
