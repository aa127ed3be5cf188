"""Base class of the stand-in servers."""

from __future__ import annotations

from asyncio import Event
from asyncio import get_running_loop
from dataclasses import fields
from dataclasses import replace
import json
from signal import SIGINT
from signal import SIGTERM
from typing import Any
from typing import TypeVar

from aiohttp import web
import uvloop

_FaultsT = TypeVar("_FaultsT")

MAX_REQUEST_BYTES = 4 * 1_048_576


class FakeServer:
    """HTTP server that runs inside a test or as a process.

    With port 0 the system chooses a free port, which port holds as soon as
    the server listens. With handler_cancellation, a handler is cancelled
    when its client disconnects.
    """

    handler_cancellation = False

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.host}:{self.port}"

    def build_application(self) -> web.Application:
        """Return the application with its routes."""
        raise NotImplementedError

    async def async_start(self) -> None:
        """Start to listen; afterwards port holds the port in use."""
        self._runner = web.AppRunner(
            self.build_application(),
            access_log=None,
            handler_cancellation=self.handler_cancellation,
            shutdown_timeout=0.5,
        )
        await self._runner.setup()
        await self.async_open_listener()

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._runner = None
        self._site = None

    async def async_open_listener(self) -> None:
        """Accept connections; does nothing while the listener is open."""
        if self._site is not None or self._runner is None:
            return
        site = web.TCPSite(
            self._runner, self.host, self.port, reuse_address=True
        )
        self._site = site
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def async_refuse_connections(self) -> None:
        """Close the listener and abort all open connections."""
        site, self._site = self._site, None
        if site is not None:
            await site.stop()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Abort all open connections without a response."""
        server = self._runner.server if self._runner is not None else None
        for handler in list(server.connections) if server else ():
            if handler.transport is not None:
                handler.transport.abort()


def cut_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that no response is sent.

    The returned response only satisfies the handler's signature.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def async_read_json(request: web.Request) -> Any:
    """Return the JSON body; an empty body counts as an empty object.

    Raises HTTPBadRequest when the body is not JSON.
    """
    body = await request.read()
    if not body:
        return {}
    try:
        return json.loads(body)
    except ValueError as err:
        raise web.HTTPBadRequest(text="body is not JSON") from err


def update_faults(faults: _FaultsT, body: object) -> _FaultsT:
    """Return a copy of the faults with the fields of a JSON body set.

    Raises HTTPBadRequest when the body isn't an object or has a field that
    the faults don't have.
    """
    known = {item.name for item in fields(faults)}  # type: ignore[arg-type]
    if not isinstance(body, dict) or not known.issuperset(body):
        raise web.HTTPBadRequest(
            text=f"body must be an object with the fields {sorted(known)}"
        )
    return replace(faults, **body)  # type: ignore[type-var]


async def _async_run(server: FakeServer) -> None:
    stopped = Event()
    for signal_number in (SIGTERM, SIGINT):
        get_running_loop().add_signal_handler(signal_number, stopped.set)
    await server.async_start()
    print(json.dumps({"ready": True, "port": server.port}), flush=True)
    await stopped.wait()
    await server.async_stop()


def run_server(server: FakeServer) -> None:
    """Run a server until SIGTERM or SIGINT.

    Prints one JSON line with the port when the server is ready.
    """
    uvloop.run(_async_run(server))
