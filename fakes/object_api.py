"""Stand-in of the platform's object API."""

from __future__ import annotations

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from asyncio import TimerHandle
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
import json
from math import ceil
from typing import Any

from aiohttp import web
import typer

from fakes.object_faults import CallBucket
from fakes.object_faults import ObjectApiFaults
from fakes.object_faults import OUTAGE_NONE
from fakes.object_faults import OUTAGE_REFUSE
from fakes.object_store import Resource
from fakes.object_store import StatusError
from fakes.object_store import VersionedObjects
from fakes.object_watch import WatchStream
from fakes.server import async_read_json
from fakes.server import cut_connection
from fakes.server import FakeServer
from fakes.server import MAX_REQUEST_BYTES
from fakes.server import run_server
from fakes.server import update_faults

PREFIX = "/apis/azurewick.dev/v1/"
MAX_VALUE_BYTES = 1_048_576
READ_ONLY_PLURAL = "instances"
DEFAULT_WATCH_TIMEOUT_S = 300.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ObjectApi(FakeServer):
    """Object API with Kubernetes conventions, faults and counters.

    history_length is the number of changes kept for watches, per resource
    type. instance_lag_s is the time until a change of an instance is listed.
    In paths, plural is the resource type, such as "leases".
    """

    def __init__(
        self,
        *,
        port: int = 0,
        reads_per_s: float = 2000.0,
        writes_per_s: float = 300.0,
        history_length: int = 1000,
        instance_lag_s: float = 0.0,
    ) -> None:
        super().__init__(port=port)
        self.objects = VersionedObjects(history_length)
        self.faults = ObjectApiFaults()
        self.instance_lag_s = instance_lag_s
        self.calls: Counter[str] = Counter()
        self.calls_by_plural: Counter[str] = Counter()
        self.statuses: Counter[str] = Counter()
        self.received_bytes = 0
        self.sent_bytes = 0
        # By whether the call is a write.
        self._buckets = {
            True: CallBucket(writes_per_s),
            False: CallBucket(reads_per_s),
        }
        self._timers: set[TimerHandle] = set()
        self._stopped = Event()
        self._fault_task: Task[None] | None = None

    def build_application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        collection = PREFIX + "{plural}"
        item = collection + "/{name}"
        app.add_routes(
            [
                web.get(collection, self._wrap_handler(self._async_list)),
                web.post(collection, self._wrap_handler(self._async_create)),
                web.get(item, self._wrap_handler(self._async_get)),
                web.put(item, self._wrap_handler(self._async_update)),
                web.delete(item, self._wrap_handler(self._async_delete)),
                web.put("/admin/instances/{name}", self._async_put_instance),
                web.delete(
                    "/admin/instances/{name}", self._async_delete_instance
                ),
                web.post("/admin/faults", self._async_set_faults),
                web.get("/admin/counters", self._async_counters),
            ]
        )
        return app

    async def async_start(self) -> None:
        """Listen; objects written before a stop are kept."""
        self._stopped = Event()
        await super().async_start()

    async def async_stop(self) -> None:
        """End the watches and close all connections."""
        self._stopped.set()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        await super().async_stop()

    async def async_set_faults(self, faults: ObjectApiFaults) -> None:
        """Set the faults; an outage cuts all open connections.

        Open connections include those of running watches.
        """
        self.faults = faults
        if faults.outage_s is not None:
            self._call_later(faults.outage_s, self._end_outage)
        if faults.outage == OUTAGE_REFUSE:
            await self.async_refuse_connections()
            return
        await self.async_open_listener()
        if faults.outage != OUTAGE_NONE:
            self.cut_connections()

    def put_instance(self, name: str, spec: Resource | None) -> None:
        """Write an instance after instance_lag_s; delete it without a spec."""
        self._call_later(self.instance_lag_s, self._apply_instance, name, spec)

    def _apply_instance(self, name: str, spec: Resource | None) -> None:
        if spec is not None:
            self.objects.put(READ_ONLY_PLURAL, name, {"spec": spec})
            return
        try:
            self.objects.delete(READ_ONLY_PLURAL, name, None)
        except StatusError:
            return

    def _end_outage(self) -> None:
        faults = ObjectApiFaults(
            lose_answers=self.faults.lose_answers, delay_s=self.faults.delay_s
        )
        self._apply_faults(faults)

    def _call_later(
        self, delay_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        if delay_s <= 0:
            callback(*args)
            return

        def run() -> None:
            self._timers.discard(timer)
            callback(*args)

        timer = get_running_loop().call_later(delay_s, run)
        self._timers.add(timer)

    def _wrap_handler(self, handler: Handler) -> Handler:
        """Wrap a handler with counters, faults, rate limits and errors.

        A StatusError becomes a response with a Kubernetes Status object.
        """

        async def async_handle(request: web.Request) -> web.StreamResponse:
            kind = self._call_kind(request)
            plural = request.match_info["plural"]
            self.calls[kind] += 1
            self.calls_by_plural[f"{plural}.{kind}"] += 1
            self.received_bytes += request.content_length or 0
            try:
                self._check_limits(request.method != "GET")
                if self.faults.delay_s > 0:
                    await sleep(self.faults.delay_s)
                response = await handler(request)
            except StatusError as err:
                response = self._json_response(err.as_status(), err.code)
                if err.retry_after_s is not None:
                    response.headers["Retry-After"] = str(err.retry_after_s)
            except web.HTTPRequestEntityTooLarge:
                error = _too_large()
                response = self._json_response(error.as_status(), error.code)
            self.statuses[str(response.status)] += 1
            return response

        return async_handle

    def _call_kind(self, request: web.Request) -> str:
        if request.method == "GET":
            if request.query.get("watch") in ("true", "1"):
                return "watch"
            return "get" if "name" in request.match_info else "list"
        return {"POST": "create", "PUT": "update"}.get(
            request.method, "delete"
        )

    def _check_limits(self, is_write: bool) -> None:
        if self.faults.outage != OUTAGE_NONE:
            raise StatusError(503, "ServiceUnavailable", "injected outage")
        wait_s = self._buckets[is_write].take()
        if wait_s > 0:
            raise StatusError(
                429,
                "TooManyRequests",
                f"rate limit exceeded, next call in {wait_s:.3f} s",
                retry_after_s=max(1, ceil(wait_s)),
            )

    def _json_response(
        self, body: Resource, status: int = 200
    ) -> web.Response:
        data = json.dumps(body, separators=(",", ":")).encode()
        self.sent_bytes += len(data)
        return web.Response(
            body=data, status=status, content_type="application/json"
        )

    def _respond_to_write(
        self, request: web.Request, body: Resource, status: int = 200
    ) -> web.Response:
        if self.faults.lose_answers <= 0:
            return self._json_response(body, status)
        self.faults = update_faults(
            self.faults, {"lose_answers": self.faults.lose_answers - 1}
        )
        self.calls["lost_answer"] += 1
        return cut_connection(request)

    async def _async_list(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch") in ("true", "1"):
            return await self._async_watch(request)
        items = self.objects.list_objects(request.match_info["plural"])
        version = str(self.objects.version)
        return self._json_response(
            {
                "kind": "List",
                "apiVersion": "v1",
                "metadata": {"resourceVersion": version},
                "items": items,
            }
        )

    async def _async_get(self, request: web.Request) -> web.StreamResponse:
        info = request.match_info
        return self._json_response(
            self.objects.get(info["plural"], info["name"])
        )

    async def _async_create(self, request: web.Request) -> web.StreamResponse:
        plural = request.match_info["plural"]
        content = await self._async_read_content(request)
        name = (content.get("metadata") or {}).get("name")
        if not isinstance(name, str) or not name:
            raise StatusError(422, "Invalid", "metadata.name is missing")
        resource = self.objects.create(plural, name, content)
        return self._respond_to_write(request, resource, 201)

    async def _async_update(self, request: web.Request) -> web.StreamResponse:
        info = request.match_info
        content = await self._async_read_content(request)
        version = (content.get("metadata") or {}).get("resourceVersion")
        resource = self.objects.update(
            info["plural"], info["name"], content, version
        )
        return self._respond_to_write(request, resource)

    async def _async_delete(self, request: web.Request) -> web.StreamResponse:
        info = request.match_info
        content = await self._async_read_content(request)
        preconditions = content.get("preconditions") or {}
        resource = self.objects.delete(
            info["plural"], info["name"], preconditions.get("resourceVersion")
        )
        return self._respond_to_write(request, resource)

    async def _async_read_content(self, request: web.Request) -> Resource:
        if request.match_info["plural"] == READ_ONLY_PLURAL:
            raise StatusError(
                405, "MethodNotAllowed", f"{READ_ONLY_PLURAL} are read-only"
            )
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise _too_large()
        try:
            content = json.loads(body) if body else {}
        except ValueError as err:
            raise StatusError(400, "BadRequest", "body is not JSON") from err
        if not isinstance(content, dict):
            raise StatusError(400, "BadRequest", "body is not a JSON object")
        return content

    async def _async_watch(self, request: web.Request) -> web.StreamResponse:
        plural = request.match_info["plural"]
        try:
            version = int(request.query.get("resourceVersion") or 0)
            timeout_s = float(
                request.query.get("timeoutSeconds") or DEFAULT_WATCH_TIMEOUT_S
            )
        except ValueError as err:
            raise StatusError(400, "BadRequest", str(err)) from err
        stream = WatchStream(self.objects, plural, self._stopped)
        initial = stream.start(version)
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        try:
            await stream.async_run(response, initial, timeout_s)
        except ConnectionError:
            return response
        finally:
            self.calls["watch_event"] += stream.events
            self.sent_bytes += stream.sent_bytes
        return response

    async def _async_put_instance(self, request: web.Request) -> web.Response:
        spec = await async_read_json(request)
        self.put_instance(request.match_info["name"], spec)
        return web.json_response({})

    async def _async_delete_instance(
        self, request: web.Request
    ) -> web.Response:
        self.put_instance(request.match_info["name"], None)
        return web.json_response({})

    async def _async_set_faults(self, request: web.Request) -> web.Response:
        body = await async_read_json(request)
        if isinstance(body, dict) and "outage" in body:
            body.setdefault("outage_s", None)
        faults = update_faults(self.faults, body)
        # Applied with a delay, so that the response is sent before a
        # "refuse" outage cuts the connection.
        get_running_loop().call_later(0.01, self._apply_faults, faults)
        return web.json_response({})

    def _apply_faults(self, faults: ObjectApiFaults) -> None:
        self._fault_task = get_running_loop().create_task(
            self.async_set_faults(faults)
        )

    async def _async_counters(self, request: web.Request) -> web.Response:
        counters: dict[str, Any] = {
            "calls": dict(self.calls),
            "calls_by_plural": dict(self.calls_by_plural),
            "statuses": dict(self.statuses),
            "received_bytes": self.received_bytes,
            "sent_bytes": self.sent_bytes,
        }
        return web.json_response(counters)


def _too_large() -> StatusError:
    return StatusError(
        413,
        "RequestEntityTooLarge",
        f"body exceeds the limit of {MAX_VALUE_BYTES} bytes",
    )


def main(
    port: int = 0,
    reads_per_s: float = 2000.0,
    writes_per_s: float = 300.0,
    history_length: int = 1000,
    instance_lag_s: float = 0.0,
) -> None:
    """Run the object API stand-in until SIGTERM or SIGINT.

    Rates are in calls per second.
    """
    server = ObjectApi(
        port=port,
        reads_per_s=reads_per_s,
        writes_per_s=writes_per_s,
        history_length=history_length,
        instance_lag_s=instance_lag_s,
    )
    run_server(server)


if __name__ == "__main__":
    typer.run(main)
