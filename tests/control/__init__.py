"""Tests of the control protocol."""
