"""Moves of traffic to new backend server versions."""
