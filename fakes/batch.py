"""Simulated continuous batching with a prefix cache, without I/O."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class PrefixCache:
    """LRU cache of prompt blocks, limited in tokens.

    The hash of a block covers its own tokens and all tokens before it. Only
    full blocks are cached, so the remainder of a prompt never is.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int = 16) -> None:
        self._capacity_blocks = capacity_tokens // block_tokens
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def hash_blocks(self, tokens: Sequence[str]) -> tuple[int, ...]:
        """Return the hashes of the full blocks of a prompt."""
        size = self._block_tokens
        hashes: list[int] = []
        previous_hash = 0
        for end in range(size, len(tokens) + 1, size):
            previous_hash = hash((previous_hash, *tokens[end - size : end]))
            hashes.append(previous_hash)
        return tuple(hashes)

    def match(self, blocks: Sequence[int]) -> int:
        """Return the length of the longest cached prefix in tokens.

        Marks the blocks of that prefix as recently used.
        """
        count = 0
        while count < len(blocks) and blocks[count] in self._blocks:
            count += 1
        self._touch(blocks[:count])
        return count * self._block_tokens

    def insert(self, blocks: Sequence[int]) -> None:
        """Cache the blocks of a prompt and evict the least recently used."""
        for block in blocks:
            self._blocks[block] = None
        self._touch(blocks)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()

    def _touch(self, blocks: Sequence[int]) -> None:
        # The first block becomes the most recently used one. A prompt is
        # thus evicted from its end, and the remaining blocks are still a
        # prefix that later prompts can match.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)


class RunState(StrEnum):
    """State of a request in the engine."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(eq=False, slots=True)
class Run:
    """One request in the engine.

    blocks are the hashes of the full blocks of the prompt. on_progress is
    called after each output token and when the request ends.
    """

    request_id: str
    model: str
    prompt: str
    prompt_tokens: int
    blocks: tuple[int, ...]
    max_tokens: int
    on_progress: Callable[[], None] = lambda: None
    state: RunState = RunState.WAITING
    cached_tokens: int = 0
    prefill_left_tokens: int = 0
    output_tokens: int = 0

    @property
    def is_active(self) -> bool:
        """Return whether the request is waiting or being processed."""
        return self.state in (
            RunState.WAITING,
            RunState.PREFILL,
            RunState.DECODE,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRates:
    """Speed of an engine.

    A step yields one output token for each decoding request and takes
    (1 + batch_slowdown * (decoding requests - 1)) / decode_tokens_per_s
    seconds. Prefill adds tokens / prefill_tokens_per_s seconds, with at most
    prefill_chunk_tokens in a step. max_batch limits the running requests.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 40.0
    batch_slowdown: float = 0.02
    prefill_chunk_tokens: int = 512
    max_batch: int = 64


@dataclass(slots=True)
class Batch:
    """Waiting and running requests, admitted in the order of arrival."""

    rates: EngineRates
    cache: PrefixCache
    waiting: deque[Run] = field(default_factory=deque)
    running: list[Run] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    _planned_prefill: list[tuple[Run, int]] = field(default_factory=list)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is waiting or running."""
        return not self.waiting and not self.running

    def add(self, run: Run) -> None:
        """Append a request to the queue of waiting requests."""
        self.waiting.append(run)
        self.counters["started"] += 1

    def end(self, run: Run, state: RunState) -> None:
        """Remove an active request and set its final state.

        Does nothing when the request has already ended.
        """
        if not run.is_active:
            return
        if run.state is RunState.WAITING:
            self.waiting.remove(run)
        else:
            self.running.remove(run)
        run.state = state
        self.counters[state.value] += 1
        run.on_progress()

    def admit(self) -> list[Run]:
        """Move waiting requests into the batch and return those moved."""
        admitted: list[Run] = []
        while self.waiting and len(self.running) < self.rates.max_batch:
            run = self.waiting.popleft()
            # The last prompt token is always computed, even if it is cached:
            # the engine needs it to generate the first output token.
            run.cached_tokens = min(
                self.cache.match(run.blocks), max(run.prompt_tokens - 1, 0)
            )
            run.prefill_left_tokens = run.prompt_tokens - run.cached_tokens
            run.state = RunState.PREFILL
            self.counters["cached_prompt_tokens"] += run.cached_tokens
            self.running.append(run)
            admitted.append(run)
        return admitted

    def plan_step(self) -> float:
        """Select the prefill of the next step; return its duration in s."""
        left_tokens = self.rates.prefill_chunk_tokens
        self._planned_prefill = []
        decoding = 0
        for run in self.running:
            if run.state is RunState.DECODE:
                decoding += 1
            elif left_tokens > 0:
                chunk_tokens = min(left_tokens, run.prefill_left_tokens)
                left_tokens -= chunk_tokens
                self._planned_prefill.append((run, chunk_tokens))
        prefill_tokens = self.rates.prefill_chunk_tokens - left_tokens
        duration_s = prefill_tokens / self.rates.prefill_tokens_per_s
        if decoding:
            slowdown = 1.0 + self.rates.batch_slowdown * (decoding - 1)
            duration_s += slowdown / self.rates.decode_tokens_per_s
        return duration_s

    def finish_step(self) -> None:
        """Apply the planned step to the requests that are still running.

        A request whose prefill ends in this step also gets its first output
        token.
        """
        prefilling = {run for run, _ in self._planned_prefill}
        for run in list(self.running):
            if run.state is RunState.DECODE and run not in prefilling:
                self._emit_token(run)
        for run, chunk_tokens in self._planned_prefill:
            if run.state is not RunState.PREFILL:
                continue
            run.prefill_left_tokens -= chunk_tokens
            self.counters["computed_prompt_tokens"] += chunk_tokens
            if run.prefill_left_tokens <= 0:
                self.cache.insert(run.blocks)
                run.state = RunState.DECODE
                self._emit_token(run)

    def _emit_token(self, run: Run) -> None:
        run.output_tokens += 1
        self.counters["output_tokens"] += 1
        if run.output_tokens >= run.max_tokens:
            self.end(run, RunState.FINISHED)
        else:
            run.on_progress()
