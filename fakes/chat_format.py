"""OpenAI-style response bodies of the model engine stand-in."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from fakes.batch import Run


def output_token(run: Run, index: int) -> str:
    """Return the output token at an index, as "request id:index"."""
    return f"{run.request_id}:{index}"


def usage_of(run: Run) -> dict[str, Any]:
    """Return the usage object with the token counts of a request so far."""
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.output_tokens,
        "total_tokens": run.prompt_tokens + run.output_tokens,
        "prompt_tokens_details": {"cached_tokens": run.cached_tokens},
    }


def stream_chunk(
    run: Run, *, delta: dict[str, str], finish_reason: str | None = None
) -> bytes:
    """Return one server-sent event of a streamed completion.

    A finish_reason marks the last chunk, which then includes the usage.
    """
    body: dict[str, Any] = {
        "id": run.request_id,
        "object": "chat.completion.chunk",
        "model": run.model,
        "choices": [
            {"index": 0, "delta": delta, "finish_reason": finish_reason}
        ],
    }
    if finish_reason is not None:
        body["usage"] = usage_of(run)
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def error_response(status: int, message: str) -> web.Response:
    """Return an OpenAI-style error response."""
    error = {"message": message, "type": "engine_error", "code": status}
    return web.json_response({"error": error}, status=status)
