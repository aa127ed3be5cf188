"""Token counts that a model engine reports at the end of a response."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import Final

# Bytes kept of the end of a response, in which the usage is searched.
USAGE_TAIL_BYTES: Final = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Token counts of one response."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


def parse_usage(tail: bytes) -> Usage | None:
    """Return the last usage object in the tail of a response.

    The response is one JSON document or a stream of events. The tail may
    start in the middle of a document, so it isn't parsed as a whole: only
    the object after the last "usage" is decoded.
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
        _parse_count(value)
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


def _parse_count(value: Any) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value
