"""Conversion of HTTP requests and responses of the platform."""

from __future__ import annotations

from math import ceil
import re

from aiohttp import ClientResponse
from aiohttp.web import BaseRequest
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from azurewick.const import HEADER_RETRY_AFTER
from azurewick.entry.models import AnswerHead
from azurewick.entry.models import BackendCall
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import PromptPart
from azurewick.platform.const import AUTHORIZATION_SCHEME
from azurewick.platform.const import HEADER_AUTHORIZATION
from azurewick.platform.const import HEADER_DEADLINE
from azurewick.platform.const import HEADER_EXPECT_INSTANCE
from azurewick.platform.const import HEADER_LAST_EVENT_ID
from azurewick.platform.const import HEADER_LENGTH_HINT
from azurewick.platform.const import HEADER_NOT_EXECUTED
from azurewick.platform.const import HEADER_PREFIX_HASHES
from azurewick.platform.const import HEADER_REQUEST_ID
from azurewick.platform.const import HEADER_SERVER_LEAVING
from azurewick.platform.const import HEADER_SIGNATURE
from azurewick.platform.const import HEADER_TENANT
from azurewick.platform.const import HEADER_TOKEN_COUNTS
from azurewick.platform.const import HOP_BY_HOP_HEADERS
from azurewick.platform.const import SCHEDULER_HEADERS
from azurewick.platform.const import STATUS_MISDIRECTED_REQUEST

# Longer numbers don't fit into a float, and int() refuses 4,300 digits.
MAX_DIGITS = 15
# A single request must not distort the averages that others are judged by.
MAX_TOKENS = 2**20
# A longer Retry-After of a backend server is taken for a mistake.
MAX_RETRY_AFTER_S = 300.0
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?|\.[0-9]+", re.ASCII)


class PlatformProtocol:
    """Headers that callers and backend servers on the platform use."""

    def decode_request(
        self, request: BaseRequest, received_s: float
    ) -> CallerRequest:
        """Return the fields of a caller's request without its body.

        received_s is the monotonic time at which it arrived. Header values
        that can't be parsed are ignored, as if the caller hadn't sent them.
        """
        headers = request.headers
        target = request.raw_path
        input_tokens, output_tokens = _parse_token_counts(headers)
        deadline_ms = _parse_number(headers.get(HEADER_DEADLINE))
        return CallerRequest(
            request_id=_to_text(headers.get(HEADER_REQUEST_ID, "")),
            method=request.method,
            target=target,
            path=target.partition("?")[0],
            host=headers.get("Host", "").rpartition("@")[2].lower(),
            headers=headers,
            received_s=received_s,
            deadline_s=(None if deadline_ms is None else deadline_ms / 1000.0),
            api_key=_parse_api_key(headers.get(HEADER_AUTHORIZATION, "")),
            input_tokens=input_tokens,
            output_tokens=output_tokens,
            expected_output_tokens=_parse_tokens(
                headers.get(HEADER_LENGTH_HINT)
            ),
            prompt_parts=_parse_prompt_parts(
                headers.get(HEADER_PREFIX_HASHES, "")
            ),
            last_event_id=headers.get(HEADER_LAST_EVENT_ID),
        )

    def encode_call(self, call: BackendCall) -> CIMultiDict[str]:
        """Return the headers for a request to a backend server."""
        dropped = _hop_by_hop_headers(call.request.headers)
        headers: CIMultiDict[str] = CIMultiDict()
        for name, value in call.request.headers.items():
            lowered = name.lower()
            if lowered in SCHEDULER_HEADERS or lowered in dropped:
                continue
            headers.add(name, value)
        if call.time_left_s is not None:
            headers[HEADER_DEADLINE] = str(
                max(1, ceil(call.time_left_s * 1000))
            )
        headers[HEADER_EXPECT_INSTANCE] = call.backend_name
        if call.customer:
            headers[HEADER_TENANT] = call.customer
        if call.last_event_id is not None:
            headers[HEADER_LAST_EVENT_ID] = call.last_event_id
        return headers

    def decode_answer(
        self, response: ClientResponse, request_id: str
    ) -> AnswerHead:
        """Return a response's head and whether it rejects the request.

        A server that breaks off inside the head and writes its answer again
        repeats fields, some with a value that isn't theirs. An answer with
        two signatures counts as unsigned, and one with two request ids as
        another request's.
        """
        headers = response.headers
        echoed_ids = [
            _to_text(value) for value in headers.getall(HEADER_REQUEST_ID, ())
        ]
        return AnswerHead(
            status=response.status,
            is_rejection=(
                HEADER_NOT_EXECUTED in headers
                or response.status == STATUS_MISDIRECTED_REQUEST
            ),
            is_other_server=response.status == STATUS_MISDIRECTED_REQUEST,
            has_other_request_id=echoed_ids not in ([], [request_id]),
            # Not a header of one connection: callers get it as well.
            is_server_leaving=headers.get(HEADER_SERVER_LEAVING) == "1",
            retry_after_s=_parse_retry_after_s(
                headers.get(HEADER_RETRY_AFTER, "")
            ),
            is_signed=len(headers.getall(HEADER_SIGNATURE, ())) == 1,
            is_encoded="Content-Encoding" in headers,
            content_length=_parse_length(headers),
            headers=_end_to_end_headers(headers),
            status_line=_status_line(response),
            identity=frozenset(
                (
                    name.lower().encode(),
                    headers[name].encode(errors="surrogateescape"),
                )
                for name in (HEADER_REQUEST_ID, HEADER_SIGNATURE)
                if name in headers
            ),
        )


def _status_line(response: ClientResponse) -> bytes:
    version = response.version
    assert version is not None
    return _encode(
        f"HTTP/{version.major}.{version.minor}"
        f" {response.status} {response.reason or ''}"
    )


def _encode(text: str) -> bytes:
    """Return the bytes of a part of a head as they were received."""
    return text.encode(errors="surrogateescape")


def _end_to_end_headers(
    headers: CIMultiDictProxy[str],
) -> tuple[tuple[str, str], ...]:
    dropped = _hop_by_hop_headers(headers) | {"content-length"}
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _hop_by_hop_headers(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    connection_options = {
        token.strip().lower()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    return (
        HOP_BY_HOP_HEADERS | connection_options
        if connection_options
        else HOP_BY_HOP_HEADERS
    )


def _parse_api_key(value: str) -> str | None:
    if value[: len(AUTHORIZATION_SCHEME)].lower() != AUTHORIZATION_SCHEME:
        return None
    return value[len(AUTHORIZATION_SCHEME) :].strip() or None


def _parse_number(value: str | None) -> int | None:
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    digits = value.lstrip("0")
    return int(digits or 0) if len(digits) < MAX_DIGITS else 10**MAX_DIGITS


def _parse_tokens(value: str | None) -> int | None:
    """Return a number of tokens, cut off at what an engine can hold."""
    tokens = _parse_number(value)
    return None if tokens is None else min(tokens, MAX_TOKENS)


def _parse_retry_after_s(value: str) -> float | None:
    """Return a Retry-After in seconds, None if it is invalid.

    The platform uses seconds only, which may be fractional, and no dates.
    """
    if _SECONDS.fullmatch(value.strip()) is None:
        return None
    return min(float(value), MAX_RETRY_AFTER_S)


def _parse_length(headers: CIMultiDictProxy[str]) -> int | None:
    return _parse_number(headers.get("Content-Length"))


def _parse_token_counts(
    headers: CIMultiDictProxy[str],
) -> tuple[int | None, int]:
    """Return the prompt tokens and the maximum of output tokens.

    They are None and 0 if the header is missing or invalid.
    """
    first, _, second = headers.get(HEADER_TOKEN_COUNTS, "").partition(",")
    prompt = _parse_tokens(first.strip())
    return prompt, _parse_tokens(second.strip()) or 0


def _parse_prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(","):
        name, _, size = item.strip().partition(":")
        tokens = _parse_tokens(size)
        if name and tokens is not None:
            parts.append(PromptPart(name=_to_text(name), tokens=tokens))
    return tuple(parts)


def _to_text(value: str) -> str:
    """Return a value whose bytes aren't UTF-8 as text that can be encoded."""
    if value.isascii():
        return value
    return value.encode(errors="surrogateescape").decode(errors="replace")
