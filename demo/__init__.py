"""Demonstration of azurewick with stand-ins on loopback."""
