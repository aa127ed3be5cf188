"""Stand-in of a client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic

from review.parts.http import BrokenMessageError
from review.parts.http import Message
from review.parts.http import read_body
from review.parts.http import read_head

HOST = "shop.example"


@dataclass(slots=True)
class Reply:
    """What a client saw of one attempt; status 0 is no complete answer."""

    request_id: str
    sent_s: float
    took_s: float
    status: int
    is_complete: bool
    message: Message | None = None
    error: str = ""


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    *,
    deadline_ms: int = 2000,
    key: str = "key-1",
    body: bytes = b"",
    extra: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
        *(f"{name}: {value}" for name, value in (extra or {}).items()),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


async def send(
    address: str, request_id: str, data: bytes, *, timeout_s: float = 5.0
) -> Reply:
    """Send one request on a new connection and read the answer."""
    host, _, port = address.partition(":")
    sent_s = monotonic()
    head: Message | None = None
    error = ""
    writer = None
    is_complete = False
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**22
            )
            writer.write(data)
            head = await read_head(reader)
            if head is not None:
                await read_body(reader, head, until_close=True)
                is_complete = True
    except (OSError, BrokenMessageError, TimeoutError) as err:
        error = repr(err)
    finally:
        if writer is not None:
            writer.close()
    return Reply(
        request_id=request_id,
        sent_s=sent_s,
        took_s=monotonic() - sent_s,
        status=head.status if head is not None else 0,
        is_complete=is_complete,
        message=head,
        error=error,
    )
