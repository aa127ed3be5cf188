"""Tests of bad input: it is refused and reaches no agent."""

from __future__ import annotations

from asyncio import open_connection
from asyncio import timeout
from dataclasses import replace
from typing import Any
from unittest import IsolatedAsyncioTestCase

from azurewick.errors import ErrorCode
from azurewick.errors import HTTP_STATUS
from azurewick.gateway.filters.limits import BodyFilter
from azurewick.helpers.filter_chain import FilterChain
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error
from tests.gateway.builders import HANG_TIMEOUT_S

AUTH_HEADER = "Authorization: Bearer north-key"
CLASS_HEADER = "X-Request-Class: quick"
CHAT_PATH = "/v1/chat/completions"


def build_request(
    *headers: str,
    method: str = "POST",
    path: str = CHAT_PATH,
    body: bytes = b"{}",
) -> bytes:
    """Return a raw request with the Content-Length of its body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: gateway",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


SHOP_PATH = "/services/shop/a"
OVERSIZED_CHUNKED_REQUEST = (
    build_request(AUTH_HEADER, CLASS_HEADER)[:-2].replace(
        b"Content-Length: 2", b"Transfer-Encoding: chunked"
    )
    + (b"800\r\n" + b" " * 2048 + b"\r\n") * 3
    + b"0\r\n\r\n"
)


def authorized_request(*headers: str, **fields: Any) -> bytes:
    """Return a request with a valid API key and class."""
    return build_request(AUTH_HEADER, CLASS_HEADER, *headers, **fields)


def request_with_key(key: str) -> bytes:
    """Return a request with this API key."""
    return build_request(f"Authorization: Bearer {key}", CLASS_HEADER)


def request_with_class(name: str, **fields: Any) -> bytes:
    """Return a request of this class with a valid API key."""
    return build_request(AUTH_HEADER, f"X-Request-Class: {name}", **fields)


# Malformed or disallowed requests by the expected error code.
REQUESTS_BY_ERROR_CODE = {
    ErrorCode.UNKNOWN_KEY: {
        "no key": build_request(CLASS_HEADER),
        "unknown key": request_with_key("none"),
        "key outside ASCII": request_with_key("n\u00f6"),
        "huge key": request_with_key("k" * 4000),
    },
    ErrorCode.UNKNOWN_CLASS: {
        "no class": build_request(AUTH_HEADER),
        "unknown class": request_with_class("none"),
    },
    ErrorCode.CLASS_NOT_ALLOWED: {
        "class of another pool": request_with_class("lookup"),
        "class of another customer": request_with_class("internal"),
    },
    ErrorCode.UNKNOWN_POOL: {
        "unknown pool": authorized_request(path="/services/none/a")
    },
    ErrorCode.IDEMPOTENCY_KEY_REQUIRED: {
        "no idempotency key": request_with_class("deposit", path=SHOP_PATH),
    },
    ErrorCode.BODY_TOO_LARGE: {
        "oversized body": authorized_request(body=b" " * 5000),
        "oversized chunked body": OVERSIZED_CHUNKED_REQUEST,
    },
    ErrorCode.HEADERS_TOO_LARGE: {
        "large headers": authorized_request(
            *(f"X-{i}: {'a' * 2000}" for i in range(9))
        ),
        "many headers": authorized_request(*(f"X-{i}: a" for i in range(200))),
        "header flood in one field": authorized_request(
            f"X-A: {'a' * 100_000}"
        ),
    },
    ErrorCode.INVALID_REQUEST: {
        "long idempotency key": authorized_request(
            f"Idempotency-Key: {'k' * 300}"
        ),
        "body that is not JSON": authorized_request(body=b"{"),
        "body that is no object": authorized_request(body=b"[1]"),
        "deeply nested body": authorized_request(body=b"[" * 4000),
        "encoded body": authorized_request("Content-Encoding: gzip"),
        "long path": authorized_request(path=f"{SHOP_PATH}{'a' * 3000}"),
        "long content type": authorized_request(f"Content-Type: {'a' * 300}"),
        "other path": authorized_request(path="/other"),
        "other method": authorized_request(method="GET"),
        "absolute target": authorized_request(path=f"http://other{SHOP_PATH}"),
        "no HTTP": b"\x00\x01\x02\r\n\r\n",
        "two lengths": authorized_request("Content-Length: 3"),
    },
}


class BadInputTest(IsolatedAsyncioTestCase):
    """Guards against bad input that reaches an agent.

    Also against incomplete requests that hold a connection open.
    """

    async def async_send(self, bench: GatewayBench, data: bytes) -> bytes:
        """Send raw bytes; return all that the gateway sends back."""
        reader, writer = await open_connection("127.0.0.1", bench.gateway.port)
        try:
            writer.write(data)
            async with timeout(HANG_TIMEOUT_S):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def test_bad_requests_are_refused(self):
        agents = FakeAgent("agent-1"), FakeAgent("agent-2", "shop")
        async with GatewayBench(*agents, max_body_bytes=4096) as bench:
            for code, requests in REQUESTS_BY_ERROR_CODE.items():
                status = HTTP_STATUS[code]
                for name, data in requests.items():
                    with self.subTest(name):
                        answer = await self.async_send(bench, data)
                        self.assertEqual(b"%d" % status, answer[9:12])
                        self.assertIn(f'"{code}"'.encode(), answer)
                        self.assertIn(b'"not_run"', answer)
            self.assertEqual(0, bench.dispatch_count)
            self.assertEqual(200, (await bench.async_post())[0])

    async def test_half_open_connections_are_closed(self):
        cases = (
            ("nothing", b""),
            ("part of the headers", b"POST /v1/chat/completions HTTP/1.1\r\n"),
        )
        async with GatewayBench(
            FakeAgent("agent-1"), header_timeout_s=0.2
        ) as bench:
            for name, data in cases:
                with self.subTest(name):
                    self.assertEqual(b"", await self.async_send(bench, data))
            self.assertEqual(0, bench.dispatch_count)

    async def test_body_that_stays_incomplete_is_refused(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            chain = bench.gateway.handler._filters
            bench.gateway.handler._filters = FilterChain(
                tuple(
                    BodyFilter(4096, 0.1)
                    if isinstance(item, BodyFilter)
                    else item
                    for item in chain._filters
                )
            )
            data = build_request(AUTH_HEADER, CLASS_HEADER, body=b"{}")[:-1]
            answer = await self.async_send(bench, data)
            self.assertIn(b"HTTP/1.1 400", answer)
            self.assertEqual(0, bench.dispatch_count)

    async def test_connections_above_the_limit_are_closed(self):
        async with GatewayBench(
            FakeAgent("agent-1"), max_connections=2
        ) as bench:
            open_writers = []
            for _ in range(2):
                _, writer = await open_connection(
                    "127.0.0.1", bench.gateway.port
                )
                open_writers.append(writer)
            self.assertEqual(
                b"",
                await self.async_send(
                    bench, build_request(AUTH_HEADER, CLASS_HEADER)
                ),
            )
            for writer in open_writers:
                writer.close()

    async def test_refusals_of_valid_requests(self):
        for code, set_up_refusal in (
            ("not_ready", lambda b: setattr(b.cluster, "is_ready", False)),
            (
                "draining",
                lambda b: setattr(b.gateway.handler.readiness, "draining", 1),
            ),
            (
                "rate_limited",
                lambda b: setattr(
                    b.components.limiter, "take", lambda customer, now_s: 2.0
                ),
            ),
            (
                "poison_request",
                lambda b: setattr(
                    b.components.poison, "is_poison", lambda *args: True
                ),
            ),
        ):
            with self.subTest(code):
                async with GatewayBench(FakeAgent("agent-1")) as bench:
                    set_up_refusal(bench)
                    _, body = await bench.async_post()
                    self.assertEqual((code, "not_run"), get_error(body))
                    self.assertEqual(0, bench.dispatch_count)


class KeyRotationTest(IsolatedAsyncioTestCase):
    """Guards against a removed API key that is still accepted.

    It would be if the gateway cached keys across configurations.
    """

    async def test_removed_key_is_refused_at_once(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            self.assertEqual(200, (await bench.async_post())[0])
            bench.cluster.snapshot = replace(
                bench.cluster.snapshot, customer_by_key_hash={}
            )
            self.assertEqual(401, (await bench.async_post())[0])
