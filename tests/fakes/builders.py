"""Builders for the tests of the stand-ins."""

from __future__ import annotations

from asyncio import sleep
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession

from fakes.batch import EngineRates
from fakes.engine_options import EngineOptions
from fakes.server import FakeServer

# High rates keep the tests short; no assertion depends on the values.
FAST_RATES = EngineRates(
    prefill_tokens_per_s=1e6, decode_tokens_per_s=2000.0, max_batch=8
)


def build_engine_options(**changes) -> EngineOptions:
    return EngineOptions(
        **{"rates": FAST_RATES, "version_load_s": 0.0, **changes}
    )


def build_chat(prompt: str, **changes) -> dict:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "m", "messages": messages, "max_tokens": 4, **changes}


class FakeTestCase(IsolatedAsyncioTestCase):
    """Test case with one stand-in server and a client session."""

    async def async_start_server(self, server: FakeServer) -> None:
        await server.async_start()
        self.addAsyncCleanup(server.async_stop)
        self.session = ClientSession(base_url=server.url)
        self.addAsyncCleanup(self.session.close)

    async def async_call(self, method, path, body=None, headers=None):
        """Send a request; return the status and the JSON body."""
        async with self.session.request(
            method, path, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def async_wait_until(self, condition) -> None:
        """Wait about 20 s for a condition, and fail the test otherwise."""
        for _ in range(4000):
            if condition():
                return
            await sleep(0.005)
        self.fail("the condition was not met within about 20 s")
