"""Stand-in of a plain HTTP service with calls that are not idempotent."""

from __future__ import annotations

from asyncio import sleep
from collections import Counter
from dataclasses import dataclass

from aiohttp import web
import typer

from fakes.server import async_read_json
from fakes.server import cut_connection
from fakes.server import FakeServer
from fakes.server import MAX_REQUEST_BYTES
from fakes.server import run_server
from fakes.server import update_faults

COUNTED_PATHS = ("/deposits", "/reservations")


@dataclass(frozen=True, kw_only=True)
class PlainServiceFaults:
    """Faults injected into the service.

    delay_s is added before each call is handled. The next
    fail_before_effect calls answer 500 without effect; the next
    fail_after_effect calls take effect, after which the connection is cut
    without a response. unhealthy makes the health check answer 503.
    """

    delay_s: float = 0.0
    fail_after_effect: int = 0
    fail_before_effect: int = 0
    unhealthy: bool = False


class PlainService(FakeServer):
    """Service that counts the runs of deposits and reservations.

    They are counted by idempotency key, so that a test can detect a call
    that ran more than once.
    """

    def __init__(self, *, port: int = 0, delay_s: float = 0.0) -> None:
        super().__init__(port=port)
        self.faults = PlainServiceFaults(delay_s=delay_s)
        self.runs: Counter[str] = Counter()
        self.calls = 0

    def build_application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.add_routes(
            [
                web.get("/health", self._async_health),
                web.get("/admin/runs", self._async_runs),
                web.post("/admin/faults", self._async_set_faults),
                web.route("*", "/{path:.*}", self._async_call),
            ]
        )
        return app

    async def _async_health(self, request: web.Request) -> web.Response:
        status = 503 if self.faults.unhealthy else 200
        return web.json_response({"status": status == 200}, status=status)

    async def _async_runs(self, request: web.Request) -> web.Response:
        return web.json_response({"runs": self.runs, "calls": self.calls})

    async def _async_set_faults(self, request: web.Request) -> web.Response:
        body = await async_read_json(request)
        self.faults = update_faults(self.faults, body)
        return web.json_response({})

    async def _async_call(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.calls += 1
        if self.faults.delay_s > 0:
            await sleep(self.faults.delay_s)
        if self._consume_fault("fail_before_effect"):
            return web.json_response({"error": "failed"}, status=500)
        answer: dict[str, object] = {
            "method": request.method,
            "path": request.path_qs,
            "received_bytes": len(body),
        }
        key = request.headers.get("Idempotency-Key", "")
        if request.method == "POST" and request.path in COUNTED_PATHS:
            self.runs[key] += 1
            answer["receipt"] = f"{key}-{self.runs[key]}"
        if self._consume_fault("fail_after_effect"):
            return cut_connection(request)
        return web.json_response(answer)

    def _consume_fault(self, name: str) -> bool:
        left: int = getattr(self.faults, name)
        if left <= 0:
            return False
        self.faults = update_faults(self.faults, {name: left - 1})
        return True


def main(port: int = 0, delay_s: float = 0.0) -> None:
    """Run the plain service stand-in until SIGTERM or SIGINT."""
    run_server(PlainService(port=port, delay_s=delay_s))


if __name__ == "__main__":
    typer.run(main)
