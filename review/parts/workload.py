"""Header fields of clients, and the answers of model engines."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter

from review.parts.http import Message
from review.parts.replica import Replica

PROMPT_HEADERS = {
    "X-Model": "m",
    "X-Token-Count": "600,64",
    "X-Prefix-Hash": "5c1e07a2:60,91bd3f06:540",
}
# Fields that common client libraries send beside those of the platform.
COMMON_HEADERS = {
    "User-Agent": "shop-terminal/4.12 (linux; armv7l) http-client/2.8.1",
    "Accept": "text/event-stream, application/json;q=0.9, */*;q=0.1",
    "Accept-Language": "es-PE,es;q=0.9,fr-MU;q=0.8,en;q=0.7",
    "Cache-Control": "no-cache",
    "Pragma": "no-cache",
    "Origin": "https://counter.shop.example",
    "Referer": "https://counter.shop.example/orders/new",
    "Cookie": "session=0f3b9c1e7a5d4286b1c0; lang=es; terminal=counter-07",
    "Traceparent": "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    "X-Terminal": "counter-07",
    "X-App-Version": "4.12.3",
    "Content-Type": "application/json",
}


class Engine(Replica):
    """Sound model engine, which answers with a stream of events."""

    first_s = 1.0
    events = 20
    event_s = 0.05

    async def answer(
        self, head: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Send the events of one answer."""
        await asyncio.sleep(self.first_s)
        fields = {
            **self.fields(head),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(("HTTP/1.1 200 OK", *lines, "", "")).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
