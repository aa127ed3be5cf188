"""Stand-in of the platform's object store."""

from __future__ import annotations

import asyncio
from asyncio import CancelledError
from asyncio import StreamReader
from asyncio import StreamWriter
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

from review.parts.http import BrokenMessageError
from review.parts.http import encode
from review.parts.http import Message
from review.parts.http import read_body
from review.parts.http import read_head

Item = dict[str, Any]
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Item]] = {}
        self.revision = 100
        self.address = ""
        self._history: list[tuple[int, str, Item]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Create or replace an object; return the new revision."""
        known = self.objects.get(kind, {}).get(name)
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": known["status"] if known and status is None else status,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, {"removed": False, "object": item})
        return self.revision

    def remove(self, kind: str, name: str) -> Item:
        """Remove an object."""
        item = self.objects[kind].pop(name)
        self.revision += 1
        self._record(kind, {"removed": True, "object": item})
        return item

    def _record(self, kind: str, event: Item) -> None:
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while head := await read_head(reader):
                await read_body(reader, head)
                status, body = await self._answer(head)
                writer.write(
                    encode(
                        f"HTTP/1.1 {status} {REASONS.get(status, 'OK')}",
                        {"Content-Type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, BrokenMessageError, CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Message) -> tuple[int, Any]:
        path, _, query_text = head.target.partition("?")
        query = {key: value[0] for key, value in parse_qs(query_text).items()}
        parts = [unquote(part) for part in path.split("/")[2:]]
        kind = parts[0]
        body = json.loads(head.body) if head.body else {}
        if len(parts) == 1:
            if head.method == "POST":
                name = body["meta"]["name"]
                known = self.objects.get(kind, {}).get(name)
                if known is not None:
                    return 409, known
                self.put(kind, name, body.get("spec"), body.get("status"))
                return 200, self.objects[kind][name]
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        return self._one(head.method, kind, parts[1:], query, body)

    def _one(
        self,
        method: str,
        kind: str,
        names: list[str],
        query: dict[str, str],
        body: Item,
    ) -> tuple[int, Any]:
        name = names[0]
        item = self.objects.get(kind, {}).get(name)
        if item is None:
            return 404, {}
        wanted = body.get("meta", {}).get("revision", query.get("revision"))
        if method != "GET" and wanted is not None:
            if int(wanted) != item["meta"]["revision"]:
                return 409, item
        if method == "PUT" and len(names) == 2:
            self.put(kind, name, item["spec"], body["status"])
        elif method == "PUT":
            self.put(kind, name, body["spec"])
        elif method == "DELETE":
            return 200, self.remove(kind, name)
        return 200, self.objects[kind][name]

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = query.get("since_rev", "")
        names = sorted(
            name for name in self.objects.get(kind, {}) if name > after
        )
        items = [self.objects[kind][name] for name in names[:500]]
        return 200, {
            "items": items,
            "more": len(names) > 500,
            "store_revision": self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                event
                for revision, event_kind, event in self._history
                if revision > after and event_kind == kind
            ]
            if events or loop.time() >= end_s:
                return 200, {
                    "events": events,
                    "store_revision": self.revision,
                }
            try:
                async with asyncio.timeout_at(end_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
