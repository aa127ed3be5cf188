"""Addresses of the form "IP:port"."""

from __future__ import annotations

from ipaddress import ip_address


def split_address(address: str) -> tuple[str, int]:
    """Split "IP:port" into the IP, without IPv6 brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether a text has the form "IP:port" with a valid port."""
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65_536
