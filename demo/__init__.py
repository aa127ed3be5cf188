"""Demonstration of azurewick on loopback, with fake backend servers."""
