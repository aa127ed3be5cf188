"""HTTP messages over plain connections."""

from __future__ import annotations

from asyncio import IncompleteReadError
from asyncio import StreamReader
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Message:
    """Request or response. error says why it isn't complete."""

    line: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    @property
    def status(self) -> int:
        """Return the status of a response, 0 without one."""
        parts = self.line.split()
        return int(parts[1]) if len(parts) > 1 else 0


async def async_read_message(
    reader: StreamReader, *, keep_body: bool = True
) -> Message:
    """Read a message with a length or chunks; error is set if it is cut."""
    message = Message()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        message.line, message.headers = _parse_head(head)
        if message.headers.get("transfer-encoding", "") == "chunked":
            await _async_read_chunks(reader, message)
            return message
        left = int(message.headers.get("content-length", "0"))
        parts = bytearray()
        while left:
            data = await reader.read(min(left, 65_536))
            if not data:
                raise IncompleteReadError(b"", left)
            left -= len(data)
            if keep_body:
                parts += data
        message.body = bytes(parts)
    except IncompleteReadError as err:
        where = "body" if message.line else "head"
        message.error = f"closed in the {where} ({len(err.partial)} bytes)"
    except OSError as err:
        message.error = f"failed: {err!r}"
    return message


async def _async_read_chunks(reader: StreamReader, message: Message) -> None:
    parts = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            message.body = bytes(parts)
            return
        parts += data[:-2]


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers
