"""gRPC channels and listening sockets of the control protocol."""

from __future__ import annotations

from collections import OrderedDict
import socket

from grpclib.client import Channel

# A gateway calls its parent, a cross-check peer and the agents it probes.
MAX_CHANNELS = 32


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an "IP:port" or "[IPv6]:port" address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class ChannelPool:
    """Channels by address; closes the least recently used one when full."""

    def __init__(self, maximum: int = MAX_CHANNELS) -> None:
        self._maximum = maximum
        self._channels: OrderedDict[str, Channel] = OrderedDict()

    def get(self, address: str) -> Channel:
        """Return the channel to an address; it connects on the first call."""
        channel = self._channels.get(address)
        if channel is None:
            while len(self._channels) >= self._maximum:
                self._channels.popitem(last=False)[1].close()
            host, port = split_address(address)
            channel = Channel(host, port)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def open_listener(address: str) -> socket.socket:
    """Return a bound, non-blocking TCP socket.

    Raises OSError when the address is in use or not available.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
