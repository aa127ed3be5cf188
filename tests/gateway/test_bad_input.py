"""Tests of bad input: a refusal or a closed connection, and no offer."""

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
from tests.gateway.builders import GUARD_S

AUTH = "Authorization: Bearer north-key"
CLASS = "X-Request-Class: quick"
CHAT = "/v1/chat/completions"


def build_request(
    *headers: str, method: str = "POST", path: str = CHAT, body: bytes = b"{}"
) -> bytes:
    """Return a raw request with a length that fits its body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: gateway",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


SHOP = "/services/shop/a"
CHUNKED = (
    build_request(AUTH, CLASS)[:-2].replace(
        b"Content-Length: 2", b"Transfer-Encoding: chunked"
    )
    + (b"800\r\n" + b" " * 2048 + b"\r\n") * 3
    + b"0\r\n\r\n"
)


def auth(*headers: str, **fields: Any) -> bytes:
    """Return a request with a good key and class."""
    return build_request(AUTH, CLASS, *headers, **fields)


def with_key(key: str) -> bytes:
    return build_request(f"Authorization: Bearer {key}", CLASS)


def with_class(name: str, **fields: Any) -> bytes:
    return build_request(AUTH, f"X-Request-Class: {name}", **fields)


# Requests by the code of their refusal.
CASES = {
    ErrorCode.UNKNOWN_KEY: {
        "no key": build_request(CLASS),
        "unknown key": with_key("none"),
        "key outside ASCII": with_key("n\u00f6"),
        "huge key": with_key("k" * 4000),
    },
    ErrorCode.UNKNOWN_CLASS: {
        "no class": build_request(AUTH),
        "unknown class": with_class("none"),
    },
    ErrorCode.CLASS_NOT_ALLOWED: {
        "class of another pool": with_class("lookup"),
        "class of another customer": with_class("internal"),
    },
    ErrorCode.UNKNOWN_POOL: {"unknown pool": auth(path="/services/none/a")},
    ErrorCode.IDEMPOTENCY_KEY_REQUIRED: {
        "no idempotency key": with_class("deposit", path=SHOP),
    },
    ErrorCode.BODY_TOO_LARGE: {
        "oversized body": auth(body=b" " * 5000),
        "oversized chunked body": CHUNKED,
    },
    ErrorCode.HEADERS_TOO_LARGE: {
        "large headers": auth(*(f"X-{i}: {'a' * 2000}" for i in range(9))),
        "many headers": auth(*(f"X-{i}: a" for i in range(200))),
        "header flood in one field": auth(f"X-A: {'a' * 100_000}"),
    },
    ErrorCode.INVALID_REQUEST: {
        "long idempotency key": auth(f"Idempotency-Key: {'k' * 300}"),
        "body that is not JSON": auth(body=b"{"),
        "body that is no object": auth(body=b"[1]"),
        "deeply nested body": auth(body=b"[" * 4000),
        "encoded body": auth("Content-Encoding: gzip"),
        "long path": auth(path=f"{SHOP}{'a' * 3000}"),
        "long content type": auth(f"Content-Type: {'a' * 300}"),
        "other path": auth(path="/other"),
        "other method": auth(method="GET"),
        "absolute target": auth(path=f"http://other{SHOP}"),
        "no HTTP": b"\x00\x01\x02\r\n\r\n",
        "two lengths": auth("Content-Length: 3"),
    },
}


class BadInputTest(IsolatedAsyncioTestCase):
    """Guards against bad input that reaches an agent or stays open."""

    async def async_send(self, bench: GatewayBench, data: bytes) -> bytes:
        reader, writer = await open_connection("127.0.0.1", bench.gateway.port)
        try:
            writer.write(data)
            async with timeout(GUARD_S):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def test_refusals(self):
        agents = FakeAgent("agent-1"), FakeAgent("agent-2", "shop")
        async with GatewayBench(*agents, max_body_bytes=4096) as bench:
            for code, requests in CASES.items():
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
            data = build_request(AUTH, CLASS, body=b"{}")[:-1]
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
                b"", await self.async_send(bench, build_request(AUTH, CLASS))
            )
            for writer in open_writers:
                writer.close()

    async def test_states_that_refuse_all_work(self):
        for code, prepare in (
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
                    prepare(bench)
                    _, body = await bench.async_post()
                    self.assertEqual((code, "not_run"), get_error(body))
                    self.assertEqual(0, bench.dispatch_count)


class KeyRotationTest(IsolatedAsyncioTestCase):
    """Guards against a gateway that keeps an old configuration's keys."""

    async def test_removed_key_is_refused_at_once(self):
        async with GatewayBench(FakeAgent("agent-1")) as bench:
            self.assertEqual(200, (await bench.async_post())[0])
            bench.cluster.snapshot = replace(
                bench.cluster.snapshot, customer_by_key_hash={}
            )
            self.assertEqual(401, (await bench.async_post())[0])
