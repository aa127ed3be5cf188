"""Tests of the processes that the soak starts."""

from __future__ import annotations

from pathlib import Path
import socket
from unittest import TestCase

from soak.const import HOST
from soak.fleet import _free_ports

PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortsTest(TestCase):
    """Guards against instances that can't start as their port is taken.

    Another soak, or an outgoing connection of any process, takes a port
    between its choice and the start of the instance.
    """

    def test_ports_are_no_ports_of_outgoing_connections(self):
        first_outgoing = int(PORT_RANGE_FILE.read_text().split()[0])
        for _ in range(50):
            ports = _free_ports(4)
            self.assertEqual(list(range(ports[0], ports[0] + 4)), ports)
            self.assertLess(ports[-1], first_outgoing)

    def test_ports_are_free_for_tcp_and_udp(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            for port in _free_ports(4):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((HOST, port))
