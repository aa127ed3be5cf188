"""Simplified continuous batching with a prefix cache, without I/O."""

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
    """LRU cache of the blocks of prompts, limited in tokens.

    A block is known by its own tokens and all tokens before it. The last
    block of a prompt counts only when it is full.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int = 16) -> None:
        self._capacity_blocks = capacity_tokens // block_tokens
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def hash_blocks(self, tokens: Sequence[str]) -> tuple[int, ...]:
        """Return the hashes of the full blocks of a prompt."""
        size = self._block_tokens
        hashes: list[int] = []
        last = 0
        for end in range(size, len(tokens) + 1, size):
            last = hash((last, *tokens[end - size : end]))
            hashes.append(last)
        return tuple(hashes)

    def match(self, blocks: Sequence[int]) -> int:
        """Return the tokens of the longest cached prefix, and use it."""
        count = 0
        while count < len(blocks) and blocks[count] in self._blocks:
            count += 1
        self._touch(blocks[:count])
        return count * self._block_tokens

    def insert(self, blocks: Sequence[int]) -> None:
        """Keep the blocks of a computed prompt and evict the oldest."""
        for block in blocks:
            self._blocks[block] = None
        self._touch(blocks)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Forget all blocks."""
        self._blocks.clear()

    def _touch(self, blocks: Sequence[int]) -> None:
        # The first block becomes the newest, so that a prefix loses its end
        # first and what is left of it stays usable.
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
    """One request in the engine; on_progress is called after a change."""

    request_id: str
    model: str
    prompt: str
    prompt_tokens: int
    blocks: tuple[int, ...]
    max_tokens: int
    on_progress: Callable[[], None] = lambda: None
    state: RunState = RunState.WAITING
    cached_tokens: int = 0
    prefill_left: int = 0
    output_tokens: int = 0

    @property
    def is_active(self) -> bool:
        """Return whether the engine still works on the request."""
        return self.state in (
            RunState.WAITING,
            RunState.PREFILL,
            RunState.DECODE,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRates:
    """Speed of an engine.

    A step of one output token for each running request takes
    (1 + batch_slowdown * (batch - 1)) / decode_tokens_per_s; prefill adds
    its tokens / prefill_tokens_per_s, at most prefill_chunk_tokens a step.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 40.0
    batch_slowdown: float = 0.02
    prefill_chunk_tokens: int = 512
    max_batch: int = 64


@dataclass(slots=True)
class Batch:
    """Requests of an engine, admitted in the order of arrival."""

    rates: EngineRates
    cache: PrefixCache
    waiting: deque[Run] = field(default_factory=deque)
    running: list[Run] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    _prefill: list[tuple[Run, int]] = field(default_factory=list)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not self.waiting and not self.running

    def add(self, run: Run) -> None:
        """Add a request at the end of the line."""
        self.waiting.append(run)
        self.counters["started"] += 1

    def end(self, run: Run, state: RunState) -> None:
        """Take a request out of the engine."""
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
        """Move waiting requests into the batch and return them."""
        admitted: list[Run] = []
        while self.waiting and len(self.running) < self.rates.max_batch:
            run = self.waiting.popleft()
            # The last token is always computed: it yields the first output.
            run.cached_tokens = min(
                self.cache.match(run.blocks), max(run.prompt_tokens - 1, 0)
            )
            run.prefill_left = run.prompt_tokens - run.cached_tokens
            run.state = RunState.PREFILL
            self.counters["cached_prompt_tokens"] += run.cached_tokens
            self.running.append(run)
            admitted.append(run)
        return admitted

    def plan_step(self) -> float:
        """Plan one step and return its duration in seconds."""
        left = self.rates.prefill_chunk_tokens
        self._prefill = []
        decoding = 0
        for run in self.running:
            if run.state is RunState.DECODE:
                decoding += 1
            elif left > 0:
                part = min(left, run.prefill_left)
                left -= part
                self._prefill.append((run, part))
        prefill_tokens = self.rates.prefill_chunk_tokens - left
        duration_s = prefill_tokens / self.rates.prefill_tokens_per_s
        if decoding:
            slowdown = 1.0 + self.rates.batch_slowdown * (decoding - 1)
            duration_s += slowdown / self.rates.decode_tokens_per_s
        return duration_s

    def finish_step(self) -> None:
        """Apply the planned step to the requests that are still running."""
        planned = {run for run, _ in self._prefill}
        for run in list(self.running):
            if run.state is RunState.DECODE and run not in planned:
                self._produce(run)
        for run, part in self._prefill:
            if run.state is not RunState.PREFILL:
                continue
            run.prefill_left -= part
            self.counters["computed_prompt_tokens"] += part
            if run.prefill_left <= 0:
                self.cache.insert(run.blocks)
                run.state = RunState.DECODE
                self._produce(run)

    def _produce(self, run: Run) -> None:
        run.output_tokens += 1
        self.counters["output_tokens"] += 1
        if run.output_tokens >= run.max_tokens:
            self.end(run, RunState.FINISHED)
        else:
            run.on_progress()
