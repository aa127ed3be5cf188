"""Pure utilities."""
