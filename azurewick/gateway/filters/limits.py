"""Filters that limit the memory and time that a request's input takes."""

from __future__ import annotations

from asyncio import timeout
import json
from typing import Any

from aiohttp import ClientError
from aiohttp.web import RequestPayloadError

from azurewick.const import HEADER_IDEMPOTENCY_KEY
from azurewick.const import MAX_HEADER_BYTES
from azurewick.const import MAX_HEADER_FIELDS
from azurewick.const import PATH_CHAT_COMPLETIONS
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext

# Path and content type are sent to the agent in the offer header; the
# agent's HTTP parser limits a header line to 8,190 bytes.
MAX_PATH_BYTES = 2048
MAX_CONTENT_TYPE_BYTES = 256
MAX_IDEMPOTENCY_KEY_BYTES = 255
MAX_MODEL_NAME_CHARS = 128
# 1 MiB in 30 s needs 35 KB/s, which slow mobile links reach.
BODY_TIMEOUT_S = 30.0


def input_error(code: ErrorCode, message: str) -> AzurewickError:
    """Return the error of a request that is refused when it is received."""
    return AzurewickError(code, message, step=Step.RECEIVE)


class HeaderLimitFilter:
    """Limits the headers and the path of a request."""

    async def async_apply(self, context: RequestContext) -> None:
        """Refuse headers and paths above the limits, and encoded bodies.

        Sets the idempotency key of the context.
        """
        if (
            context.header_bytes > MAX_HEADER_BYTES
            or context.header_fields > MAX_HEADER_FIELDS
        ):
            raise input_error(
                ErrorCode.HEADERS_TOO_LARGE,
                f"headers exceed {MAX_HEADER_BYTES} bytes or"
                f" {MAX_HEADER_FIELDS} fields",
            )
        if len(context.path) > MAX_PATH_BYTES:
            raise input_error(
                ErrorCode.INVALID_REQUEST,
                f"path exceeds {MAX_PATH_BYTES} bytes",
            )
        if len(context.content_type) > MAX_CONTENT_TYPE_BYTES:
            raise input_error(
                ErrorCode.INVALID_REQUEST,
                f"Content-Type exceeds {MAX_CONTENT_TYPE_BYTES} bytes",
            )
        # A small compressed body could decode to a very large one.
        encoding = context.headers.get("Content-Encoding", "identity")
        if encoding != "identity":
            raise input_error(
                ErrorCode.INVALID_REQUEST,
                f"Content-Encoding {encoding[:63]!r} is not accepted",
            )
        key = context.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if len(key) > MAX_IDEMPOTENCY_KEY_BYTES or not key.isprintable():
            raise input_error(
                ErrorCode.INVALID_REQUEST,
                f"{HEADER_IDEMPOTENCY_KEY} must have at most"
                f" {MAX_IDEMPOTENCY_KEY_BYTES} characters, all printable",
            )
        context.idempotency_key = key


class BodyFilter:
    """Reads the body within limits of size and time."""

    def __init__(
        self, max_body_bytes: int, timeout_s: float = BODY_TIMEOUT_S
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._timeout_s = timeout_s

    async def async_apply(self, context: RequestContext) -> None:
        """Read the body; refuse one that is too large, late or malformed."""
        length = context.headers.get("Content-Length", "0")
        if not length.isdigit() or int(length) > self._max_body_bytes:
            raise self._body_too_large_error()
        try:
            async with timeout(self._timeout_s):
                context.body = await self._async_read(context)
        except TimeoutError as err:
            raise input_error(
                ErrorCode.INVALID_REQUEST,
                f"body was not received within {self._timeout_s:g} s",
            ) from err
        except (ClientError, RequestPayloadError, ValueError) as err:
            raise input_error(
                ErrorCode.INVALID_REQUEST, "body is malformed"
            ) from err
        if context.path == PATH_CHAT_COMPLETIONS:
            context.model = _read_model(_parse_json_object(context.body))

    async def _async_read(self, context: RequestContext) -> bytes:
        if context.payload is None:
            return b""
        if context.send_continue is not None:
            await context.send_continue()
        parts: list[bytes] = []
        size = 0
        async for part in context.payload.iter_any():
            size += len(part)
            if size > self._max_body_bytes:
                raise self._body_too_large_error()
            parts.append(part)
        return b"".join(parts)

    def _body_too_large_error(self) -> AzurewickError:
        return input_error(
            ErrorCode.BODY_TOO_LARGE,
            f"body exceeds {self._max_body_bytes} bytes",
        )


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise input_error(
            ErrorCode.INVALID_REQUEST, "body is not JSON"
        ) from err
    if not isinstance(document, dict):
        raise input_error(
            ErrorCode.INVALID_REQUEST, "body is not a JSON object"
        )
    return document


def _read_model(document: dict[str, Any]) -> str:
    """Return the model that a chat request names, or an empty string.

    Gateways send the name to each other as the route of version evidence.
    Names that can't be encoded there, such as a lone surrogate from a JSON
    escape, and names that are too long are left out.
    """
    model = document.get("model")
    if not isinstance(model, str) or len(model) > MAX_MODEL_NAME_CHARS:
        return ""
    return model if model.isascii() and model.isprintable() else ""
