"""Addresses of the form "IP:port"."""

from __future__ import annotations

from ipaddress import ip_address


def split_address(address: str) -> tuple[str, int]:
    """Return the host without brackets and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65_536
