"""Answers that a caller has received only in part, or leaves unread."""

from __future__ import annotations

from asyncio import Transport
from fcntl import ioctl
from logging import getLogger
from struct import calcsize
from struct import unpack
from termios import TIOCOUTQ

_LOGGER = getLogger(__name__)

_INT = "i"


class UnreadAnswer:
    """Time since the caller of a connection last took a byte."""

    def __init__(self) -> None:
        self._unread_bytes = 0
        self._since_s = 0.0

    def stalled_s(
        self, unread_bytes: int, now_s: float, *, may_grow: bool
    ) -> float:
        """Return for how long no byte of the unread ones has been taken.

        An answer that may grow can do so faster than a slow caller reads it,
        so that only one that waits for its caller counts.
        """
        known_bytes = self._unread_bytes
        if may_grow or not known_bytes or unread_bytes < known_bytes:
            self._since_s = now_s
        self._unread_bytes = unread_bytes
        return now_s - self._since_s


def unacknowledged_bytes(transport: Transport) -> int:
    """Return the bytes that the peer hasn't received, the kernel's too.

    The kernel asks for more only when a third of its buffer is free, which
    takes a caller with a slow link longer than the limit.
    """
    size = transport.get_write_buffer_size()
    if not size:
        return 0
    connection = transport.get_extra_info("socket")
    try:
        data = ioctl(connection.fileno(), TIOCOUTQ, bytes(calcsize(_INT)))
    except (OSError, ValueError) as err:
        # The connection has just been closed.
        _LOGGER.debug("no size of the output queue: %s", err)
        return size
    queued_bytes: int = unpack(_INT, data)[0]
    return size + queued_bytes
