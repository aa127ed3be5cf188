"""Sockets that notice within seconds when their peer is gone."""

from __future__ import annotations

from collections.abc import Sequence
import socket
from typing import Any

# Idle time until the first keep-alive probe, interval of further probes, and
# probes without an answer until the connection is closed. A peer that is gone
# is noticed within two seconds, also while nothing is sent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time after which sent data without an acknowledgement closes the connection.
USER_TIMEOUT_MS = 2000


def create_probed_socket(
    address: tuple[int, int, int, str, Sequence[Any]],
) -> socket.socket:
    """Return a socket for an address as getaddrinfo describes it."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return sock
