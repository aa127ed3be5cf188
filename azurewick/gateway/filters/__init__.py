"""Filter chain of the gateway."""
