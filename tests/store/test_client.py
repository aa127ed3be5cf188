"""Tests of the object API client against a scripted TCP server."""

from __future__ import annotations

import asyncio
import json
from unittest import IsolatedAsyncioTestCase

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.helpers.clock import monotonic_s
from azurewick.store.client import MAX_OBJECT_BYTES
from azurewick.store.client import ObjectApiClient
from azurewick.store.protocols import StoredObject

ITEM = StoredObject(plural="leases", name="a", version=1, spec={"x": 1})
DOCUMENT = {"metadata": {"name": "a", "resourceVersion": "2"}, "spec": {}}


def http_answer(status: int, body: object, extra: str = "") -> bytes:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n{extra}\r\n"
    return head.encode() + data


OK = http_answer(200, DOCUMENT)
CLOSE = b""


class ScriptedServer:
    """Reads requests and answers from a script; CLOSE drops them."""

    def __init__(self, script):
        self.script = list(script)
        self.requests: list[str] = []

    async def async_start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if "content-length: " in head:
                    size = head.split("content-length: ")[1].split("\r\n")[0]
                    await reader.readexactly(int(size))
                self.requests.append(head.split(" ")[0])
                answer = self.script.pop(0) if self.script else CLOSE
                if answer == CLOSE:
                    break
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class ClientTest(IsolatedAsyncioTestCase):
    """Guards the contract of ObjectStore's errors and of single sends."""

    async def _async_open(self, script, **options):
        server = ScriptedServer(script)
        url = await server.async_start()
        self.addCleanup(server.server.close)
        client = ObjectApiClient(
            url,
            calls_per_s=options.get("calls_per_s", 1000),
            burst_calls=options.get("burst_calls", 100),
            request_timeout_s=options.get("request_timeout_s", 5),
            clock=options.get("clock", monotonic_s),
        )
        self.addAsyncCleanup(client.async_close)
        return server, client

    async def test_write_is_sent_once_when_kept_connection_closes(self):
        """aiohttp resends PUT and DELETE; the first may have run."""
        for method in ("update", "delete"):
            with self.subTest(method):
                server, client = await self._async_open([OK, CLOSE, OK])
                await client.async_get("leases", "a")
                with self.assertRaises(AzurewickError) as caught:
                    await getattr(client, f"async_{method}")(ITEM)
                self.assertEqual(
                    (ErrorCode.STORE_UNAVAILABLE, Outcome.UNKNOWN, 2),
                    (
                        caught.exception.code,
                        caught.exception.outcome,
                        len(server.requests),
                    ),
                )

    async def test_answers_become_codes(self):
        """Guards against a wrong outcome, which allows a second run."""
        busy = http_answer(429, {}, "Retry-After: 3\r\n")
        huge = http_answer(
            200, DOCUMENT | {"spec": {"x": "x" * MAX_OBJECT_BYTES}}
        )
        moved = http_answer(307, {}, "Location: /elsewhere\r\n")
        for answer, code, outcome, wait_s in (
            (http_answer(404, {}), "store_not_found", "not_run", None),
            (http_answer(409, {}), "store_conflict", "not_run", None),
            (busy, "store_rate_limited", "not_run", 3.0),
            (http_answer(422, {}), "invalid_request", "not_run", None),
            (http_answer(503, {}), "store_unavailable", "unknown", None),
            (http_answer(200, []), "store_unavailable", "unknown", None),
            (moved, "invalid_request", "not_run", None),
            (OK[:-5], "store_unavailable", "unknown", None),
            (huge, "store_unavailable", "unknown", None),
        ):
            with self.subTest(answer=answer[:20], code=code):
                # A cut answer never ends, so that the time-out has to.
                _, client = await self._async_open(
                    [answer],
                    request_timeout_s=0.2 if answer == OK[:-5] else 5,
                )
                with self.assertRaises(AzurewickError) as caught:
                    await client.async_update(ITEM)
                err = caught.exception
                self.assertEqual(
                    (code, outcome, wait_s),
                    (err.code, err.outcome, err.retry_after_s),
                )

    async def test_refused_connection_did_not_run(self):
        server, client = await self._async_open([])
        server.server.close()
        await server.server.wait_closed()
        with self.assertRaises(AzurewickError) as caught:
            await client.async_update(ITEM)
        self.assertEqual(Outcome.NOT_RUN, caught.exception.outcome)

    async def test_budget_refuses_calls_without_sending(self):
        server, client = await self._async_open(
            [OK] * 9, calls_per_s=0.01, burst_calls=2, clock=lambda: 0.0
        )
        await client.async_get("leases", "a")
        await client.async_get("leases", "a")
        with self.assertRaises(AzurewickError) as caught:
            await client.async_get("leases", "a")
        self.assertEqual(ErrorCode.STORE_RATE_LIMITED, caught.exception.code)
        self.assertAlmostEqual(100.0, caught.exception.retry_after_s)
        self.assertEqual(2, len(server.requests))

    async def test_watch_ends_with_expired_version(self):
        event = json.dumps({"type": "ADDED", "object": DOCUMENT})
        gone = json.dumps({"type": "ERROR", "object": {"code": 410}})
        lines = f"{event}\n{gone}\n".encode()
        head = f"HTTP/1.1 200 X\r\nContent-Length: {len(lines)}\r\n\r\n"
        _, client = await self._async_open([head.encode() + lines])
        seen = []
        with self.assertRaises(AzurewickError) as caught:
            async for one in client.async_watch("leases", 1, 5):
                seen.append(one.version)
        self.assertEqual([2], seen)
        self.assertEqual(ErrorCode.STORE_WATCH_EXPIRED, caught.exception.code)
