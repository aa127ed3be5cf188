"""Stand-in of the platform's object store, with faults."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from aiohttp import web
import orjson

PAGE_ITEMS = 500
HISTORY_EVENTS = 1000


class FakePlatformStore:
    """Objects by kind and name with one revision counter and long polls.

    is_down answers 503, refuses_writes does so for writes only, is_silent
    doesn't answer at all, and lose_answers is the number of next writes that
    are done and not answered. page_items bounds the items of one answer.
    """

    def __init__(self, page_items: int = PAGE_ITEMS) -> None:
        self.is_down = False
        self.is_silent = False
        self.refuses_writes = False
        self.lose_answers = 0
        self.calls: list[str] = []
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self._page_items = page_items
        self._history: deque[tuple[int, str, dict[str, Any]]] = deque(
            maxlen=HISTORY_EVENTS
        )
        self._oldest = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def async_start(self) -> str:
        """Start to serve; return the address as "IP:port"."""
        app = web.Application()
        app.router.add_route("*", "/objects/{kind}", self._async_kind)
        app.router.add_route("*", "/objects/{kind}/{name}", self._async_one)
        app.router.add_put("/objects/{kind}/{name}/status", self._async_status)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def async_stop(self) -> None:
        """Stop to serve."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator would; return its revision."""
        known = self.objects.get(kind, {}).get(name)
        return self._store(
            kind, name, spec, None if known is None else known["status"]
        )

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects[kind].pop(name)
        self._record(kind, {"removed": True, "object": item})

    def forget_history(self) -> None:
        """Drop the history, so that old watches get 410."""
        self._history.clear()
        self._oldest = self.revision

    def _store(self, kind: str, name: str, spec: Any, status: Any) -> int:
        self.revision += 1
        item = {
            "meta": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": status,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, {"removed": False, "object": item})
        return self.revision

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        if event["removed"]:
            self.revision += 1
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_check(self, request: web.Request) -> None:
        self.calls.append(f"{request.method} {request.path_qs}")
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_down or (self.refuses_writes and request.method != "GET"):
            raise web.HTTPServiceUnavailable

    async def _async_answer(
        self, request: web.Request, body: Any, status: int = 200
    ) -> web.Response:
        if request.method != "GET" and self.lose_answers:
            self.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.Response(
            body=orjson.dumps(body),
            status=status,
            content_type="application/json",
        )

    async def _async_kind(self, request: web.Request) -> web.Response:
        await self._async_check(request)
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = orjson.loads(await request.read())
            name = body["meta"]["name"]
            if name in self.objects.get(kind, {}):
                raise web.HTTPConflict
            # A status that comes with a new object is not kept.
            self._store(kind, name, body["spec"], None)
            return await self._async_answer(request, self.objects[kind][name])
        if "watch" in request.query:
            return await self._async_watch(request, kind)
        items = sorted(
            self.objects.get(kind, {}).values(),
            key=lambda item: str(item["meta"]["name"]),
        )
        after = request.query.get("since_rev", "")
        items = [item for item in items if item["meta"]["name"] > after]
        return await self._async_answer(
            request,
            {
                "items": items[: self._page_items],
                "more": len(items) > self._page_items,
                "store_revision": self.revision,
            },
        )

    async def _async_watch(
        self, request: web.Request, kind: str
    ) -> web.Response:
        after = int(request.query["watch"])
        if after < self._oldest:
            raise web.HTTPGone
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for revision, event_kind, event in self._history
                if revision > after and event_kind == kind
            ]
            if events or loop.time() >= ends_s:
                break
            try:
                async with asyncio.timeout_at(ends_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return await self._async_answer(
            request, {"events": events, "store_revision": self.revision}
        )

    async def _async_one(self, request: web.Request) -> web.Response:
        await self._async_check(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self.objects.get(kind, {}).get(name)
        if item is None:
            raise web.HTTPNotFound
        if request.method == "PUT":
            body = orjson.loads(await request.read())
            self._check_revision(body["meta"].get("revision"), item)
            self._store(kind, name, body["spec"], item["status"])
        elif request.method == "DELETE":
            self._check_revision(request.query.get("revision"), item)
            self.remove(kind, name)
            return await self._async_answer(request, item)
        return await self._async_answer(request, self.objects[kind][name])

    async def _async_status(self, request: web.Request) -> web.Response:
        await self._async_check(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self.objects.get(kind, {}).get(name)
        if item is None:
            raise web.HTTPNotFound
        body = orjson.loads(await request.read())
        self._check_revision(body["meta"].get("revision"), item)
        self._store(kind, name, item["spec"], body["status"])
        return await self._async_answer(request, self.objects[kind][name])

    @staticmethod
    def _check_revision(revision: Any, item: dict[str, Any]) -> None:
        if revision is not None and int(revision) != item["meta"]["revision"]:
            raise web.HTTPConflict
