"""Prefill and decode rates learned from usage and timing."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import Final

TAIL_BYTES: Final = 4096
# Weight of a new sample. About ten requests replace most of the estimate,
# which follows a change of speed within seconds and smooths single answers.
SAMPLE_WEIGHT: Final = 0.2
# Shorter prefills and outputs measure overheads more than the rate.
MIN_PREFILL_TOKENS: Final = 64
MIN_OUTPUT_TOKENS: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Tokens of one answer as the engine counted them."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


def parse_usage(tail: bytes) -> Usage | None:
    """Return the last usage in the end of an answer.

    The answer is one JSON document or a stream of events. The tail may start
    in the middle of it, so the value after the last "usage" is decoded.
    """
    text = tail.decode("utf-8", errors="replace")
    position = text.rfind('"usage"')
    while position >= 0:
        start = text.find("{", position)
        usage = _decode_usage(text[start:]) if start >= 0 else None
        if usage is not None:
            return usage
        position = text.rfind('"usage"', 0, position)
    return None


def _decode_usage(text: str) -> Usage | None:
    try:
        fields, _ = json.JSONDecoder().raw_decode(text)
    except (ValueError, RecursionError):
        return None
    details = fields.get("prompt_tokens_details")
    cached = details.get("cached_tokens") if isinstance(details, dict) else 0
    counts = [
        _count(value)
        for value in (
            fields.get("prompt_tokens"),
            cached or 0,
            fields.get("completion_tokens"),
        )
    ]
    prompt_tokens, cached_tokens, output_tokens = counts
    if prompt_tokens is None or cached_tokens is None or output_tokens is None:
        return None
    return Usage(
        prompt_tokens=prompt_tokens,
        cached_tokens=min(cached_tokens, prompt_tokens),
        output_tokens=output_tokens,
    )


def _count(value: Any) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


class LearnedRates:
    """Rates of one request: prefill and decode tokens a second.

    A rate is 0 until the first sample.
    """

    def __init__(self) -> None:
        self.prefill_tokens_per_s = 0.0
        self.decode_tokens_per_s = 0.0

    def record_answer(
        self, usage: Usage, first_byte_s: float, duration_s: float
    ) -> None:
        """Learn from a finished answer; times count from the dispatch."""
        computed = usage.prompt_tokens - usage.cached_tokens
        if computed >= MIN_PREFILL_TOKENS and first_byte_s > 0:
            self.prefill_tokens_per_s = _blend(
                self.prefill_tokens_per_s, computed / first_byte_s
            )
        decode_s = duration_s - first_byte_s
        if usage.output_tokens >= MIN_OUTPUT_TOKENS and decode_s > 0:
            self.decode_tokens_per_s = _blend(
                self.decode_tokens_per_s, (usage.output_tokens - 1) / decode_s
            )

    def expected_prefill_s(self, prompt_tokens: int) -> float:
        """Return the time until the first token; 0 for an unknown rate."""
        if self.prefill_tokens_per_s <= 0:
            return 0.0
        return prompt_tokens / self.prefill_tokens_per_s

    def expected_work_s(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the time one request takes; 0 for rates not yet known."""
        work_s = self.expected_prefill_s(prompt_tokens)
        if self.decode_tokens_per_s > 0:
            work_s += output_tokens / self.decode_tokens_per_s
        return work_s


def _blend(old: float, sample: float) -> float:
    if old == 0.0:
        return sample
    return old + SAMPLE_WEIGHT * (sample - old)
