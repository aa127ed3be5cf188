"""Builders for the tests of the stand-ins."""

from __future__ import annotations

from asyncio import sleep
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession

from fakes.batch import EngineRates
from fakes.engine_options import EngineOptions
from fakes.server import FakeServer

# Rates so high that no test waits; verdicts don't depend on them.
FAST_RATES = EngineRates(
    prefill_tokens_per_s=1e6, decode_tokens_per_s=2000.0, max_batch=8
)


def engine_options(**changes) -> EngineOptions:
    return EngineOptions(
        **{"rates": FAST_RATES, "version_load_s": 0.0, **changes}
    )


def chat(prompt: str, **changes) -> dict:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "m", "messages": messages, "max_tokens": 4, **changes}


class FakeTestCase(IsolatedAsyncioTestCase):
    """Test case with one server and a client session."""

    async def async_use(self, server: FakeServer) -> None:
        await server.async_start()
        self.addAsyncCleanup(server.async_stop)
        self.session = ClientSession(base_url=server.url)
        self.addAsyncCleanup(self.session.close)

    async def async_call(self, method, path, body=None, headers=None):
        """Return the status and the JSON body of a call."""
        async with self.session.request(
            method, path, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def async_until(self, condition) -> None:
        """Wait for a condition; the time-out is only a guard."""
        for _ in range(4000):
            if condition():
                return
            await sleep(0.005)
        self.fail("the condition did not come true")
