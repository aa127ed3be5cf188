"""Helper to end the connection of a caller whose answer has broken off."""

from __future__ import annotations

import socket
import struct

from aiohttp import HttpVersion11
from aiohttp.web import BaseRequest

_LINGER_RESET = struct.pack("ii", 1, 0)


def mark_answer_broken(request: BaseRequest) -> None:
    """Let the close of the connection show that the answer is incomplete.

    Callers that speak HTTP/1.0 get no chunks, so that the regular end of the
    connection would be that of the answer. Theirs is reset.
    """
    if request.version >= HttpVersion11 or request.transport is None:
        return
    sock = request.transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
