"""Membership of gateways, agents and backend servers."""
