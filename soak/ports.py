"""Ports of the processes that the soak starts."""

from __future__ import annotations

from contextlib import ExitStack
from random import SystemRandom
import socket

from soak.const import HOST

FIRST_PORT = 12_000
LAST_PORT = 32_000
# Loopback address at which a soak holds the ports of its processes. The ones
# at HOST are free until a process has started, and between two processes.
HOLD_HOST = "127.0.0.2"
SOCKET_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


class PortBlock:
    """Consecutive ports at HOST, free for TCP and UDP, held for one owner.

    They are below the range that the kernel gives to outgoing connections, so
    that no such connection takes one before its process has started. The
    draw doesn't depend on the seed: several soaks may run side by side.
    """

    def __init__(self, count: int) -> None:
        self._stack = ExitStack()
        self.ports = self._draw(count)

    def release(self) -> None:
        """Let others use the ports."""
        self._stack.close()

    def _draw(self, count: int) -> list[int]:
        while True:
            first = SystemRandom().randrange(FIRST_PORT, LAST_PORT - count)
            ports = list(range(first, first + count))
            with ExitStack() as stack:
                if all(_try_hold(port, stack) for port in ports):
                    self._stack = stack.pop_all()
                    return ports


def _try_hold(port: int, stack: ExitStack) -> bool:
    """Hold a port until the stack is closed, unless it is in use."""
    for kind in SOCKET_KINDS:
        sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
        try:
            sock.bind((HOLD_HOST, port))
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((HOST, port))
        except OSError:
            return False
    return True
