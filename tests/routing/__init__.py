"""Tests of the routers and their estimates."""
