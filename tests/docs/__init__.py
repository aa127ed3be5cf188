"""Tests of the documentation for operators."""
