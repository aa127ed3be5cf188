"""Model engine with continuous batching, chunked prefill, prefix cache."""

from __future__ import annotations

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
import heapq
from typing import Protocol

from bench.model.clock import VirtualClock
from bench.model.workload import Job


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpeed:
    """Speed and sizes of an engine.

    A decode step takes base_step_s + step_per_request_s * running; a step
    with a prefill chunk also takes the time of chunk_tokens.
    """

    prefill_tokens_per_s: float
    base_step_s: float
    step_per_request_s: float
    max_batch: int = 64
    chunk_tokens: int = 256
    cache_tokens: int = 150_000

    def step_s(self, running: int) -> float:
        """Return the time of a step without a prefill chunk."""
        return self.base_step_s + self.step_per_request_s * running

    def largest_batch(self, inter_token_s: float) -> int:
        """Return the largest batch with at most this inter-token time."""
        batch = int(
            (inter_token_s - self.base_step_s) / self.step_per_request_s
        )
        return max(1, min(self.max_batch, batch))

    def decode_tokens_per_s(self, inter_token_s: float) -> float:
        """Return the decode rate of the largest batch with this time."""
        batch = self.largest_batch(inter_token_s)
        return batch / self.step_s(batch)


FAST = EngineSpeed(
    prefill_tokens_per_s=9000.0, base_step_s=0.015, step_per_request_s=0.0006
)
# Chunks of 128 tokens keep the steps of a half-full batch within the
# inter-token target of 79 ms.
SLOW = EngineSpeed(
    prefill_tokens_per_s=4500.0,
    base_step_s=0.024,
    step_per_request_s=0.0011,
    chunk_tokens=128,
)


class EngineListener(Protocol):
    """Receives the events of an engine's requests."""

    def on_first_token(self, job: Job) -> None:
        """Handle the first token of a request."""

    def on_finish(self, job: Job) -> None:
        """Handle the end of a request."""


class Engine:
    """Engine in virtual time; requests are admitted in order of arrival.

    Between changes of the batch all steps take the same time, so progress
    is computed from the elapsed time and not step by step. decode_steps
    counts the decode steps so far, each of which adds one token to every
    running request.
    """

    def __init__(
        self, clock: VirtualClock, speed: EngineSpeed, listener: EngineListener
    ) -> None:
        self._clock = clock
        self.speed = speed
        self._listener = listener
        self.slowdown = 1.0
        self.waiting: deque[Job] = deque()
        self._prefilling: Job | None = None
        self._prefill_left_tokens = 0.0
        # Heap of the running jobs by the value of decode_steps at their end.
        self._running: list[tuple[float, int, Job]] = []
        self.decode_steps = 0.0
        self._updated_s = 0.0
        # Callbacks that were scheduled with an earlier id are ignored.
        self._schedule_id = 0
        self._sequence = 0
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cache_used_tokens = 0

    @property
    def running(self) -> int:
        """Return the number of admitted requests."""
        return len(self._running) + (self._prefilling is not None)

    def submit(self, job: Job) -> None:
        """Add a request."""
        self.advance()
        self.waiting.append(job)
        self._reschedule()

    def set_slowdown(self, factor: float) -> None:
        """Make each step take longer by a factor."""
        self.advance()
        self.slowdown = factor
        self._reschedule()

    def stop(self) -> None:
        """Drop all requests, as in a crash."""
        self._schedule_id += 1
        self._running.clear()
        self.waiting.clear()
        self._prefilling = None

    def advance(self) -> None:
        """Update progress by the time since the last update."""
        elapsed_s = self._clock.now_s - self._updated_s
        self._updated_s = self._clock.now_s
        if elapsed_s <= 0.0 or not self.running:
            return
        steps = elapsed_s / self._step_s()
        if self._running:
            self.decode_steps += steps
        if self._prefilling is not None:
            self._prefill_left_tokens -= steps * self.speed.chunk_tokens

    def _step_s(self) -> float:
        step_s = self.speed.step_s(len(self._running))
        if self._prefilling is not None:
            chunk = self.speed.chunk_tokens
            step_s += chunk / self.speed.prefill_tokens_per_s
        return step_s * self.slowdown

    def _reschedule(self) -> None:
        self._admit()
        self._schedule_id += 1
        if not self.running:
            return
        step_s = self._step_s()
        steps = []
        if self._prefilling is not None:
            steps.append(self._prefill_left_tokens / self.speed.chunk_tokens)
        if self._running:
            steps.append(self._running[0][0] - self.decode_steps)
        self._clock.call_later(
            max(0.0, min(steps)) * step_s, self._on_change, self._schedule_id
        )

    def _on_change(self, schedule_id: int) -> None:
        if schedule_id != self._schedule_id:
            return
        self.advance()
        finished = []
        while (
            self._running and self._running[0][0] <= self.decode_steps + 1e-6
        ):
            finished.append(heapq.heappop(self._running)[2])
        started = None
        if self._prefilling is not None and self._prefill_left_tokens <= 1e-6:
            started = self._finish_prefill()
        self._reschedule()
        if started is not None:
            self._listener.on_first_token(started)
            if started.output_tokens < 2:
                finished.append(started)
        for job in finished:
            self._listener.on_finish(job)

    def _admit(self) -> None:
        if (
            self._prefilling is not None
            or not self.waiting
            or len(self._running) >= self.speed.max_batch
        ):
            return
        job = self.waiting.popleft()
        job.cached_tokens = self.cached_tokens(job)
        job.computed_tokens = job.prompt_tokens - job.cached_tokens
        self._prefilling = job
        self._prefill_left_tokens = float(max(1, job.computed_tokens))

    def _finish_prefill(self) -> Job | None:
        job = self._prefilling
        if job is None:
            return None
        self._prefilling = None
        self._add_to_cache(job)
        if job.output_tokens >= 2:
            self._sequence += 1
            heapq.heappush(
                self._running,
                (
                    self.decode_steps + job.output_tokens - 1,
                    self._sequence,
                    job,
                ),
            )
        return job

    def cached_tokens(self, job: Job) -> int:
        """Return the tokens of a request's prompt that the cache holds."""
        shared = self._cache.get(
            f"shared/{job.class_load.request_class.name}", 0
        )
        context = self._cache.get(job.context, 0) if job.context else 0
        return min(job.prompt_tokens - 1, max(shared, context))

    def holds_context(self, job: Job) -> bool:
        """Return whether the cache holds a request's context, if any."""
        return not job.context or job.context in self._cache

    def _add_to_cache(self, job: Job) -> None:
        for key, tokens in (
            (
                f"shared/{job.class_load.request_class.name}",
                job.class_load.shared_tokens,
            ),
            (job.context, job.context_tokens),
        ):
            if not key or not tokens:
                continue
            self._cache_used_tokens += tokens - self._cache.get(key, 0)
            self._cache[key] = tokens
            self._cache.move_to_end(key)
        while self._cache_used_tokens > self.speed.cache_tokens:
            self._cache_used_tokens -= self._cache.popitem(last=False)[1]
