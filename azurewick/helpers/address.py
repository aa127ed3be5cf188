"""Addresses of the form "IP:port"."""

from __future__ import annotations

from ipaddress import ip_address
import re

_PORT = re.compile(r"[1-9][0-9]{0,4}")


def split_address(address: str) -> tuple[str, int]:
    """Split "IP:port" into the IP, without IPv6 brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether a text has the form "IP:port" of one host.

    The port is 1 to 65535 without leading zeros.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ip_address(host.strip("[]"))
    except ValueError:
        return False
    return (
        not (ip.is_unspecified or ip.is_multicast)
        and _PORT.fullmatch(port) is not None
        and int(port) < 65_536
    )
