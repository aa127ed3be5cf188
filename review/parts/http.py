"""Minimal HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

from asyncio import StreamReader
from dataclasses import dataclass
from dataclasses import field


class BrokenMessageError(Exception):
    """A message ended early or can't be read."""


@dataclass(slots=True)
class Message:
    """Head and body of a request or an answer."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header field."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: StreamReader) -> Message | None:
    """Read a head; return None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except EOFError as err:
        if getattr(err, "partial", b""):
            raise BrokenMessageError("the head is incomplete") from err
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(start=lines[0], headers=headers)


async def read_body(
    reader: StreamReader, head: Message, *, until_close: bool = False
) -> None:
    """Read the body that belongs to a head into it.

    Raises BrokenMessageError if it ends early; head.body has what came.
    """
    try:
        if "chunked" in head.get("Transfer-Encoding").lower():
            while True:
                size = int(
                    (await reader.readuntil(b"\r\n")).split(b";")[0], 16
                )
                if not size:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return
                head.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif head.get("Content-Length"):
            left = int(head.get("Content-Length"))
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise BrokenMessageError("the body is incomplete")
                head.body += data
                left -= len(data)
        elif until_close:
            while data := await reader.read(65536):
                head.body += data
    except (EOFError, ConnectionError, ValueError) as err:
        raise BrokenMessageError(f"the body is incomplete: {err!r}") from err


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
