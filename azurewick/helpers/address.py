"""Addresses of the form "IP:port"."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the host without brackets and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
