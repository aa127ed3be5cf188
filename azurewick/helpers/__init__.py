"""Helpers shared by the packages."""
