"""Tests of the rollout of versions."""
