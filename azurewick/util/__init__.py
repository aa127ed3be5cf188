"""Utilities that do no input or output."""
