"""Contract tests of the model engine stand-in."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
import json
from unittest import TestCase

from aiohttp import ClientError

from fakes.batch import Batch
from fakes.batch import EngineRates
from fakes.batch import PrefixCache
from fakes.batch import Run
from fakes.batch import RunState
from fakes.model_engine import ModelEngine
from tests.fakes.builders import build_chat
from tests.fakes.builders import build_engine_options
from tests.fakes.builders import FakeTestCase

CHAT_PATH = "/v1/chat/completions"
LONG_PROMPT = " ".join(f"w{i}" for i in range(100))


def build_order(number: int, version: str = "v2") -> dict:
    return {
        "fencing_number": number,
        "action": "load_version",
        "version": version,
    }


class BatchTest(TestCase):
    """Guards against wrong admission order, step times or cache eviction.

    The demonstration and the capacity benchmark rely on the simulated speed.
    """

    def build_batch(self, count: int) -> Batch:
        rates = EngineRates(
            prefill_tokens_per_s=100.0,
            decode_tokens_per_s=10.0,
            batch_slowdown=0.5,
            prefill_chunk_tokens=50,
            max_batch=2,
        )
        batch = Batch(rates, PrefixCache(64, 16))
        for number in range(count):
            batch.add(Run(str(number), "m", "", 80, (), 2))
        return batch

    def test_step_times_and_order_of_arrival(self):
        batch = self.build_batch(3)
        admitted = [run.request_id for run in batch.admit()]
        self.assertEqual(["0", "1"], admitted)
        times = []
        while not batch.is_idle:
            batch.admit()
            times.append(round(batch.plan_step(), 3))
            batch.finish_step()
        # Each request has 80 prompt tokens, computed at most 50 a step and
        # 100 a second. A step with one decoding request takes 0.1 s more.
        # The third request is admitted when the first has finished.
        self.assertEqual([0.5, 0.5, 0.6, 0.5, 0.5, 0.1], times)

    def test_decoding_slows_with_the_batch(self):
        batch = self.build_batch(2)
        for run in batch.admit():
            run.state = RunState.DECODE
        self.assertAlmostEqual(0.15, batch.plan_step())

    def test_prefix_cache_evicts_the_end_of_old_prompts(self):
        cache = PrefixCache(64, 16)
        first = cache.hash_blocks(["a"] * 48)
        second = cache.hash_blocks(["b"] * 40)
        cache.insert(first)
        cache.insert(second)
        self.assertEqual(32, cache.match(second))
        self.assertEqual(32, cache.match(first))


class ModelEngineTest(FakeTestCase):
    """Guards against a stand-in that differs from a model engine.

    The demonstration and the process tests would then exercise agents
    against behaviour that no engine has.
    """

    async def async_start_engine(self, **options):
        self.engine = ModelEngine(options=build_engine_options(**options))
        await self.async_start_server(self.engine)

    async def async_chat(self, prompt, request_id="r", **changes):
        headers = {"X-Request-Id": request_id}
        body = build_chat(prompt, **changes)
        return await self.async_call("POST", CHAT_PATH, body, headers)

    async def test_usage_counts_the_cached_prefix(self):
        await self.async_start_engine()
        usages = []
        for request_id in ("r1", "r2"):
            status, body = await self.async_chat(LONG_PROMPT, request_id)
            self.assertEqual(200, status)
            content = body["choices"][0]["message"]["content"]
            self.assertEqual(f"{request_id}:3", content.split()[-1])
            usages.append(body["usage"])
        cached = [u["prompt_tokens_details"]["cached_tokens"] for u in usages]
        self.assertEqual([0, 96], cached)
        self.assertEqual(4, usages[0]["completion_tokens"])
        _, counters = await self.async_call("GET", "/admin/counters")
        self.assertEqual(104, counters["computed_prompt_tokens"])
        self.assertEqual({"r1": 1, "r2": 1}, counters["runs"])

    async def test_stream_ends_with_usage_and_done(self):
        await self.async_start_engine()
        body = build_chat("hello there", stream=True, max_tokens=3)
        async with self.session.post(CHAT_PATH, json=body) as response:
            text = await response.text()
        events = [line.removeprefix("data: ") for line in text.split("\n\n")]
        self.assertEqual(["[DONE]", ""], events[-2:])
        last = json.loads(events[-3])
        self.assertEqual(3, last["usage"]["completion_tokens"])
        self.assertEqual(6, len(events))

    async def test_cancel_by_id_and_by_closed_connection(self):
        await self.async_start_engine()
        task = create_task(self.async_chat("a", "r1", max_tokens=10**6))
        await self.async_wait_until(lambda: self.engine.runs["r1"])
        path = "/v1/requests/r1/cancel"
        self.assertEqual(200, (await self.async_call("POST", path))[0])
        self.assertEqual(499, (await task)[0])
        self.assertEqual(404, (await self.async_call("POST", path))[0])
        task = create_task(self.async_chat("a", "r2", max_tokens=10**6))
        await self.async_wait_until(lambda: self.engine.runs["r2"])
        task.cancel()
        await gather(task, return_exceptions=True)
        await self.async_wait_until(lambda: self.engine.batch.is_idle)
        self.assertEqual(2, self.engine.batch.counters["cancelled"])

    async def test_order_with_stale_fencing_number_is_refused_if_checked(self):
        for checks, status in ((True, 409), (False, 202)):
            with self.subTest(checks_fencing=checks):
                await self.async_start_engine(checks_fencing=checks)
                first = await self.async_call(
                    "POST", "/orders", build_order(7)
                )
                late = build_order(6, "v0")
                second = await self.async_call("POST", "/orders", late)
                self.assertEqual((202, status), (first[0], second[0]))
                expected = "v2" if checks else "v0"
                self.assertEqual(expected, self.engine.version)

    async def test_loading_refuses_requests(self):
        await self.async_start_engine(version_load_s=1000.0)
        await self.async_call("POST", "/orders", build_order(1))
        self.assertEqual(503, (await self.async_call("GET", "/health"))[0])
        self.assertEqual(503, (await self.async_chat("a"))[0])

    async def test_failing_share_and_failing_model(self):
        await self.async_start_engine()
        table = [
            ({"failing_share": 1.0}, "m", 500),
            ({"failing_share": 0.0, "failing_model": "x"}, "m", 200),
            ({}, "x", 500),
            ({"only_version": "other"}, "x", 200),
        ]
        for faults, model, status in table:
            with self.subTest(faults=faults, model=model):
                await self.async_call("POST", "/admin/faults", faults)
                got, _ = await self.async_chat("a", model=model)
                self.assertEqual(status, got)

    async def test_speed_faults(self):
        await self.async_start_engine()
        normal = self.engine._current_speed()
        table = [
            ({"speed_factor": 0.1}, 1, 0.1),
            ({"speed_factor": 1.0, "slow_above_batch": 2}, 2, 1.0),
            ({}, 3, 0.1),
        ]
        for faults, batch, factor in table:
            with self.subTest(faults=faults, batch=batch):
                await self.async_call("POST", "/admin/faults", faults)
                self.engine.batch.running = [None] * batch
                self.assertEqual(normal * factor, self.engine._current_speed())
        self.engine.batch.running = []

    async def test_crash_cuts_all_requests_until_a_restart(self):
        await self.async_start_engine()
        await self.async_call("POST", "/admin/faults", {"crash_marker": "XX"})
        other_request = create_task(
            self.async_chat("a", "r1", max_tokens=10**6)
        )
        await self.async_wait_until(lambda: self.engine.runs["r1"])
        with self.assertRaises(ClientError):
            await self.async_chat("please XX", "r2")
        with self.assertRaises(ClientError):
            await other_request
        with self.assertRaises(ClientError):
            await self.async_chat("a")
        await self.engine.async_restart()
        self.assertEqual(200, (await self.async_chat("a"))[0])

    async def test_load_is_reported_after_the_lag(self):
        await self.async_start_engine(load_lag_s=1000.0)
        task = create_task(self.async_chat("a", max_tokens=10**6))
        await self.async_wait_until(lambda: self.engine.batch.running)
        _, load = await self.async_call("GET", "/load")
        self.assertEqual((0, 1000.0), (load["running"], load["age_s"]))
        self.engine.options = build_engine_options()
        _, load = await self.async_call("GET", "/load")
        self.assertEqual(1, load["running"])
        task.cancel()

    async def test_invalid_requests(self):
        await self.async_start_engine()
        for body in ({}, [], {"messages": 3}, build_chat("a", max_tokens=0)):
            with self.subTest(body=body):
                status, _ = await self.async_call("POST", CHAT_PATH, body)
                self.assertEqual(400, status)
