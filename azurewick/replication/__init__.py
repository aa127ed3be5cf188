"""Replication of the configuration between entry instances."""
