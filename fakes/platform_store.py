"""Stand-in of the platform's object store with injected faults."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from aiohttp import web
import orjson

PAGE_ITEMS = 500
HISTORY_EVENTS = 1000


class FakePlatformStore:
    """HTTP store of objects by kind and name, watched by long polls.

    All objects share one revision counter. While is_down is set, each call
    gets a 503; refuses_writes does the same for writes only, refused_ports
    for calls to these ports of the store, and fail_calls for the next calls.
    While is_silent is set, each call is held for 60 s. While
    is_stale_behind is set, stale watches show no changes. The next
    lose_answers writes take
    effect without a response. While loses_watches is set, watches that wait
    get no answer. stale_items replaces the items of stale lists by kind.
    page_items limits the items of one list
    response. calls holds the method and path of each call.
    """

    def __init__(self, page_items: int = PAGE_ITEMS) -> None:
        self.is_down = False
        self.is_silent = False
        self.refuses_writes = False
        self.refused_ports: set[int] = set()
        self.fail_calls = 0
        self.is_stale_behind = False
        self.lose_answers = 0
        self.loses_watches = False
        self.stale_items: dict[str, list[dict[str, Any]]] = {}
        self.calls: list[str] = []
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self._page_items = page_items
        self._history: deque[tuple[int, str, dict[str, Any]]] = deque(
            maxlen=HISTORY_EVENTS
        )
        self._oldest_revision = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def async_start(self) -> str:
        """Listen on a free port; return the address as "IP:port"."""
        app = web.Application()
        app.router.add_route(
            "*", "/objects/{kind}", self._async_handle_collection
        )
        app.router.add_route(
            "*", "/objects/{kind}/{name}", self._async_handle_object
        )
        app.router.add_put(
            "/objects/{kind}/{name}/status", self._async_update_status
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def async_add_address(self) -> str:
        """Listen on another free port; return the address as "IP:port"."""
        assert self._runner is not None
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self._runner.addresses[-1][1]}"

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object, keeping its status.

        Returns the new revision. As for a write by the operator, no
        revision is checked.
        """
        existing = self.objects.get(kind, {}).get(name)
        return self._store(
            kind, name, spec, None if existing is None else existing["status"]
        )

    def remove(self, kind: str, name: str) -> None:
        """Remove an object and record the removal for watches."""
        item = self.objects[kind].pop(name)
        self._record(kind, {"removed": True, "object": item})

    def forget_history(self) -> None:
        """Drop the history, so that watches of older revisions get 410."""
        self._history.clear()
        self._oldest_revision = self.revision

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

    async def _async_apply_faults(self, request: web.Request) -> None:
        self.calls.append(f"{request.method} {request.path_qs}")
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_down or (self.refuses_writes and request.method != "GET"):
            raise web.HTTPServiceUnavailable
        self._check_port(request)
        if self.fail_calls:
            self.fail_calls -= 1
            raise web.HTTPServiceUnavailable

    def _check_port(self, request: web.Request) -> None:
        if request.transport is None:
            return
        port = request.transport.get_extra_info("sockname")[1]
        if port in self.refused_ports:
            raise web.HTTPServiceUnavailable

    async def _async_respond(
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

    async def _async_handle_collection(
        self, request: web.Request
    ) -> web.Response:
        await self._async_apply_faults(request)
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = orjson.loads(await request.read())
            name = body["meta"]["name"]
            if name in self.objects.get(kind, {}):
                raise web.HTTPConflict
            # The status of a new object is ignored: statuses are written
            # only through the /status path.
            self._store(kind, name, body["spec"], None)
            return await self._async_respond(request, self.objects[kind][name])
        if "watch" in request.query:
            return await self._async_watch(request, kind)
        items = sorted(
            self._find_items(request, kind),
            key=lambda item: str(item["meta"]["name"]),
        )
        # The parameter holds the last name of the previous page, not a
        # revision.
        after_name = request.query.get("since_rev", "")
        items = [item for item in items if item["meta"]["name"] > after_name]
        return await self._async_respond(
            request,
            {
                "items": items[: self._page_items],
                "more": len(items) > self._page_items,
                "store_revision": self.revision,
            },
        )

    def _find_items(
        self, request: web.Request, kind: str
    ) -> list[dict[str, Any]]:
        if "allow_stale" in request.query and kind in self.stale_items:
            return self.stale_items[kind]
        return list(self.objects.get(kind, {}).values())

    async def _async_watch(
        self, request: web.Request, kind: str
    ) -> web.Response:
        after_revision = int(request.query["watch"])
        if after_revision < self._oldest_revision:
            raise web.HTTPGone
        loop = asyncio.get_running_loop()
        wait_ms = int(request.query["wait_ms"])
        deadline_s = loop.time() + wait_ms / 1000
        while True:
            events = [
                event
                for revision, event_kind, event in self._history
                if revision > after_revision and event_kind == kind
            ]
            if self.is_stale_behind and "allow_stale" in request.query:
                events = []
            if events or loop.time() >= deadline_s:
                break
            try:
                async with asyncio.timeout_at(deadline_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        if wait_ms and self.loses_watches:
            await asyncio.sleep(60)
        self._check_port(request)
        return await self._async_respond(
            request, {"events": events, "store_revision": self.revision}
        )

    async def _async_handle_object(self, request: web.Request) -> web.Response:
        await self._async_apply_faults(request)
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
            return await self._async_respond(request, item)
        return await self._async_respond(request, self.objects[kind][name])

    async def _async_update_status(self, request: web.Request) -> web.Response:
        await self._async_apply_faults(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self.objects.get(kind, {}).get(name)
        if item is None:
            raise web.HTTPNotFound
        body = orjson.loads(await request.read())
        self._check_revision(body["meta"].get("revision"), item)
        self._store(kind, name, item["spec"], body["status"])
        return await self._async_respond(request, self.objects[kind][name])

    @staticmethod
    def _check_revision(revision: Any, item: dict[str, Any]) -> None:
        if revision is not None and int(revision) != item["meta"]["revision"]:
            raise web.HTTPConflict
