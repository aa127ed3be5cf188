"""Gradual rollout of new backend server versions."""
