"""Stand-in of a model engine with an OpenAI-style interface."""

from __future__ import annotations

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections import Counter
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import os
from random import Random
from time import monotonic
from typing import Any
from uuid import uuid4

from aiohttp import web
import typer

from fakes.batch import Batch
from fakes.batch import EngineRates
from fakes.batch import PrefixCache
from fakes.batch import Run
from fakes.batch import RunState
from fakes.chat_format import error_response
from fakes.chat_format import output_token
from fakes.chat_format import stream_chunk
from fakes.chat_format import usage_of
from fakes.engine_options import EngineFaults
from fakes.engine_options import EngineOptions
from fakes.server import async_read_json
from fakes.server import cut_connection
from fakes.server import FakeServer
from fakes.server import MAX_REQUEST_BYTES
from fakes.server import run_server
from fakes.server import update_faults

CRASH_EXIT_CODE = 70
DEFAULT_MAX_TOKENS = 16
# Shorter delays only yield to the event loop, without a timer.
MIN_SLEEP_S = 0.001
# When the simulation is further behind its schedule, for example on a busy
# machine, the schedule restarts at the current time, so that the engine does
# not make up for the delay by running steps in quick succession.
MAX_BEHIND_S = 0.1


class ModelEngine(FakeServer):
    """Simulated engine with continuous batching, prefix cache and faults."""

    handler_cancellation = True

    def __init__(
        self, *, port: int = 0, options: EngineOptions | None = None
    ) -> None:
        super().__init__(port=port)
        self.options = options or EngineOptions()
        self.faults = EngineFaults()
        self.version = self.options.version
        self.runs: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing_number = 0
        self._random = Random(self.options.seed)
        self._cache = PrefixCache(self.options.cache_tokens)
        self.batch = self._new_batch()
        self._active: dict[str, Run] = {}
        self._load_history: deque[tuple[float, dict[str, int]]] = deque()
        self._loading_until_s = 0.0
        self._work_available = Event()
        self._step_task: Task[None] | None = None
        self._crash_task: Task[None] | None = None

    def build_application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._async_complete),
                web.post("/v1/requests/{id}/cancel", self._async_cancel),
                web.get("/load", self._async_load),
                web.get("/health", self._async_health),
                web.post("/orders", self._async_accept_order),
                web.post("/admin/faults", self._async_set_faults),
                web.get("/admin/counters", self._async_counters),
            ]
        )
        return app

    async def async_start(self) -> None:
        """Start the simulation and listen."""
        self._work_available = Event()
        self._step_task = get_running_loop().create_task(
            self._async_run_steps()
        )
        await super().async_start()

    async def async_stop(self) -> None:
        """Stop the engine and fail its active requests."""
        if self._step_task is not None:
            self._step_task.cancel()
        self._fail_active_runs()
        await super().async_stop()

    async def async_crash(self) -> None:
        """Cut all connections and refuse new ones until async_restart.

        Ends the process instead when exits_on_crash is set.
        """
        self.counters["crashes"] += 1
        if self.options.exits_on_crash:
            os._exit(CRASH_EXIT_CODE)
        await self.async_refuse_connections()
        self._fail_active_runs()

    async def async_restart(self) -> None:
        """Accept connections again after a crash, with an empty cache."""
        self._cache.clear()
        await self.async_open_listener()

    def _new_batch(self) -> Batch:
        return Batch(self.options.rates, self._cache)

    def _fail_active_runs(self) -> None:
        for run in list(self._active.values()):
            self.batch.end(run, RunState.FAILED)
        self._active.clear()

    @property
    def _are_faults_active(self) -> bool:
        return self.faults.only_version in ("", self.version)

    def _current_speed(self) -> float:
        speed = self.options.speed
        if not self._are_faults_active:
            return speed
        limit = self.faults.slow_above_batch
        if limit and len(self.batch.running) > limit:
            speed *= self.faults.slow_factor
        return speed * self.faults.speed_factor

    async def _async_run_steps(self) -> None:
        due_s = monotonic()
        while True:
            if self.batch.is_idle:
                self._work_available.clear()
                await self._work_available.wait()
                due_s = monotonic()
            if self._admit():
                continue
            due_s += self.batch.plan_step() / self._current_speed()
            delay_s = due_s - monotonic()
            if delay_s < -MAX_BEHIND_S:
                due_s = monotonic()
            await sleep(delay_s if delay_s > MIN_SLEEP_S else 0)
            self.batch.finish_step()
            self._record_load()

    def _admit(self) -> bool:
        """Admit waiting requests; return whether one crashed the engine."""
        marker = self.faults.crash_marker
        for run in self.batch.admit():
            if marker and self._are_faults_active and marker in run.prompt:
                self._crash_task = get_running_loop().create_task(
                    self.async_crash()
                )
                self._fail_active_runs()
                return True
        return False

    def _record_load(self) -> None:
        load = {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
        }
        now_s = monotonic()
        if self._load_history and self._load_history[-1][1] == load:
            return
        self._load_history.append((now_s, load))
        reported_s = now_s - self.options.load_lag_s
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= reported_s
        ):
            self._load_history.popleft()

    async def _async_load(self, request: web.Request) -> web.Response:
        reported_s = monotonic() - self.options.load_lag_s
        load = {"running": 0, "waiting": 0}
        for recorded_s, recorded in self._load_history:
            if recorded_s <= reported_s:
                load = recorded
        body = {
            **load,
            "version": self.version,
            "age_s": self.options.load_lag_s,
            "max_batch": self.options.rates.max_batch,
        }
        return web.json_response(body)

    async def _async_health(self, request: web.Request) -> web.Response:
        status = "ok"
        if self._is_loading:
            status = "loading"
        elif self.faults.unhealthy:
            status = "failed"
        return web.json_response(
            {"status": status, "version": self.version},
            status=200 if status == "ok" else 503,
        )

    @property
    def _is_loading(self) -> bool:
        return monotonic() < self._loading_until_s

    async def _async_accept_order(self, request: web.Request) -> web.Response:
        order = await async_read_json(request)
        try:
            fencing_number = int(order["fencing_number"])
            version = str(order["version"])
            is_known_action = order["action"] == "load_version"
        except (KeyError, TypeError, ValueError):
            return error_response(
                400, "order needs action, version and integer fencing_number"
            )
        if not is_known_action:
            return error_response(400, "the only known action is load_version")
        if fencing_number < self.highest_fencing_number:
            self.counters["stale_orders"] += 1
            if self.options.checks_fencing:
                return error_response(
                    409,
                    f"fencing number {fencing_number} is stale, the highest"
                    f" seen is {self.highest_fencing_number}",
                )
        self.highest_fencing_number = max(
            self.highest_fencing_number, fencing_number
        )
        self.orders.append(order)
        load_s = self.options.version_load_s / self.options.speed
        self._loading_until_s = monotonic() + load_s
        self.version = version
        self._cache.clear()
        return web.json_response({"accepted": True}, status=202)

    async def _async_cancel(self, request: web.Request) -> web.Response:
        run = self._active.get(request.match_info["id"])
        if run is None:
            return error_response(404, "no active request with this id")
        self.batch.end(run, RunState.CANCELLED)
        return web.json_response({"cancelled": True})

    async def _async_set_faults(self, request: web.Request) -> web.Response:
        body = await async_read_json(request)
        self.faults = update_faults(self.faults, body)
        return web.json_response({})

    async def _async_counters(self, request: web.Request) -> web.Response:
        body = {
            **self.batch.counters,
            **self.counters,
            "runs": self.runs,
            "orders": len(self.orders),
        }
        return web.json_response(body)

    def _start_run(
        self, request_id: str, body: dict[str, Any], prompt: str
    ) -> tuple[Run, Event]:
        tokens = prompt.split()
        progress = Event()
        run = Run(
            request_id=request_id,
            model=str(body.get("model", "")),
            prompt=prompt,
            prompt_tokens=max(1, len(tokens)),
            blocks=self._cache.hash_blocks(tokens),
            max_tokens=int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
            on_progress=progress.set,
        )
        self._active[request_id] = run
        self.batch.add(run)
        self._record_load()
        self._work_available.set()
        return run, progress

    def _should_fail(self, model: str) -> bool:
        if not self._are_faults_active:
            return False
        if self.faults.failing_model and model == self.faults.failing_model:
            return True
        return self._random.random() < self.faults.failing_share

    async def _async_complete(
        self, request: web.Request
    ) -> web.StreamResponse:
        body = await async_read_json(request)
        try:
            prompt = "\n".join(str(m["content"]) for m in body["messages"])
            is_valid = int(body.get("max_tokens", 1)) > 0
        except (KeyError, TypeError, ValueError, AttributeError):
            is_valid = False
        if not is_valid:
            return error_response(
                400, "request needs messages with content and max_tokens > 0"
            )
        if self._is_loading:
            return error_response(503, "the engine is loading a version")
        request_id = request.headers.get("X-Request-Id") or uuid4().hex
        self.runs[request_id] += 1
        if self._should_fail(str(body.get("model", ""))):
            self.counters["failed_on_purpose"] += 1
            return error_response(500, "injected engine failure")
        run, progress = self._start_run(request_id, body, prompt)
        answer: Callable[..., Awaitable[web.StreamResponse]] = (
            self._async_answer_stream
            if body.get("stream")
            else self._async_answer_json
        )
        try:
            return await answer(request, run, progress)
        except ConnectionError:
            return cut_connection(request)
        finally:
            self.batch.end(run, RunState.CANCELLED)
            self._active.pop(request_id, None)

    async def _async_answer_json(
        self, request: web.Request, run: Run, progress: Event
    ) -> web.StreamResponse:
        while run.is_active:
            progress.clear()
            await progress.wait()
        if run.state is RunState.FAILED:
            return cut_connection(request)
        if run.state is RunState.CANCELLED:
            return error_response(499, "cancelled")
        text = " ".join(output_token(run, i) for i in range(run.output_tokens))
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "length"}
        return web.json_response(
            {
                "id": run.request_id,
                "object": "chat.completion",
                "model": run.model,
                "choices": [choice],
                "usage": usage_of(run),
            }
        )

    async def _async_answer_stream(
        self, request: web.Request, run: Run, progress: Event
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        sent = 0
        while True:
            progress.clear()
            if run.state is RunState.FAILED:
                return cut_connection(request)
            while sent < run.output_tokens:
                delta = {"content": output_token(run, sent) + " "}
                await response.write(stream_chunk(run, delta=delta))
                sent += 1
            if not run.is_active:
                break
            await progress.wait()
        reason = "length"
        if run.state is RunState.CANCELLED:
            reason = "cancelled"
        await response.write(stream_chunk(run, delta={}, finish_reason=reason))
        await response.write(b"data: [DONE]\n\n")
        return response


def main(
    port: int = 0,
    version: str = "v1",
    speed: float = 1.0,
    prefill_tokens_per_s: float = 8000.0,
    decode_tokens_per_s: float = 40.0,
    batch_slowdown: float = 0.02,
    max_batch: int = 64,
    cache_tokens: int = 100_000,
    load_lag_s: float = 0.0,
    version_load_s: float = 1.0,
    ignore_fencing: bool = False,
    seed: int = 0,
) -> None:
    """Run the model engine stand-in until SIGTERM or SIGINT."""
    rates = EngineRates(
        prefill_tokens_per_s=prefill_tokens_per_s,
        decode_tokens_per_s=decode_tokens_per_s,
        batch_slowdown=batch_slowdown,
        max_batch=max_batch,
    )
    options = EngineOptions(
        version=version,
        rates=rates,
        cache_tokens=cache_tokens,
        speed=speed,
        load_lag_s=load_lag_s,
        version_load_s=version_load_s,
        checks_fencing=not ignore_fencing,
        exits_on_crash=True,
        seed=seed,
    )
    run_server(ModelEngine(port=port, options=options))


if __name__ == "__main__":
    typer.run(main)
