"""Connections to the control ports of other processes."""

from __future__ import annotations

from collections import OrderedDict
import socket

from grpclib.client import Channel

# A gateway calls its parent, a cross-check peer and failing servers.
MAX_CHANNELS = 32


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of "IP:port" or "[IPv6]:port"."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class ChannelPool:
    """Open channels by address; the longest unused one is closed."""

    def __init__(self, maximum: int = MAX_CHANNELS) -> None:
        self._maximum = maximum
        self._channels: OrderedDict[str, Channel] = OrderedDict()

    def get(self, address: str) -> Channel:
        """Return the channel to an address; it connects when used."""
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
    """Return a bound TCP socket; OSError when the address is not free."""
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
