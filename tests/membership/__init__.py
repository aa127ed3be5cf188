"""Tests of the cluster membership."""
