"""Fault cases of a dispatch: each step, each fault, and pairs of them.

A gateway that follows the rules offers a request to a second agent only
after not_run or a connection that could not be opened.
"""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from itertools import product
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientConnectorError
from aiohttp import ClientError

from tests.agent.builders import AgentHarness
from tests.agent.builders import async_wait_for
from tests.agent.builders import make_offer
from tests.agent.builders import ScriptedBackend
from tests.agent.builders import WHOLE_ANSWER

STEPS = (
    "before_send",
    "after_send",
    "after_effect",
    "before_end",
    "after_answer",
)
FAULTS = (
    "backend_killed",
    "backend_reset",
    "answer_lost",
    "backend_paused",
    "agent_killed",
    "agent_draining",
    "gateway_killed",
    "offer_repeated",
)


class FaultyBackend(ScriptedBackend):
    """Backend server that pauses at one step until the fault has acted."""

    def __init__(self, step, fault):
        super().__init__(self._async_serve_request)
        self.step = step
        self.fault = fault
        self.at_step = []
        self.effects = []

    async def _async_serve_request(self, backend, request, writer):
        await self._async_step("after_send", writer)
        self.effects.append(request.request_id)
        await self._async_step("after_effect", writer)
        length = len(WHOLE_ANSWER)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode() + WHOLE_ANSWER[:4])
        await writer.drain()
        await self._async_step("before_end", writer)
        writer.write(WHOLE_ANSWER[4:])
        await writer.drain()

    async def _async_step(self, step, writer):
        if step != self.step:
            return
        self.at_step.append(step)
        await self.released.wait()
        if self.fault in ("backend_killed", "backend_reset"):
            writer.transport.abort()
            raise ConnectionResetError
        if self.fault == "answer_lost":
            writer.close()
            raise ConnectionResetError


class FaultTableTest(IsolatedAsyncioTestCase):
    """Guards against a second run, a false not_run and a cut answer."""

    async def test_each_fault_at_each_step_and_pairs(self):
        first = list(product(STEPS, FAULTS))
        # The second agent meets its own fault when it gets the request.
        second = list(product(("after_send", "before_end"), FAULTS[:3]))
        cases = [(fault, ("none", "none")) for fault in first]
        cases += list(product(first, second))
        for case in cases:
            with self.subTest(case=case):
                await self._async_run(*case)

    async def _async_run(self, first, second):
        backends = [FaultyBackend(*first), FaultyBackend(*second)]
        async with (
            AgentHarness(backends[0]) as agent,
            AgentHarness(backends[1]) as other,
        ):
            if first[0] == "before_send":
                await self._async_act(agent, first[1], None)
            task = create_task(self._async_gateway([agent, other]))
            acting = [
                create_task(self._async_inject(harness, backend, task))
                for harness, backend in zip(
                    (agent, other), backends, strict=True
                )
            ]
            results = await gather(task, return_exceptions=True)
            if first[0] == "after_answer":
                await self._async_act(agent, first[1], task)
            for injector in acting:
                injector.cancel()
            await gather(*acting, return_exceptions=True)
            self._check(backends, results[0])

    async def _async_inject(self, harness, backend, task):
        await async_wait_for(lambda: backend.at_step)
        await self._async_act(harness, backend.fault, task)
        backend.released.set()

    async def _async_act(self, harness, fault, task):
        if fault == "backend_killed":
            harness.backend.refuse_connections()
        elif fault == "agent_killed":
            await harness.async_kill()
        elif fault == "agent_draining":
            harness.agent.set_draining(True)
        elif fault == "gateway_killed" and task is not None:
            task.cancel()
        elif fault == "backend_paused":
            for _ in range(50):
                await sleep(0)
        elif fault == "offer_repeated" and task is not None:
            _, _, outcome = await harness.async_dispatch(make_offer())
            self.assertNotEqual("not_run", outcome)

    async def _async_gateway(self, harnesses):
        for harness in harnesses:
            try:
                result = await harness.async_dispatch(make_offer())
            except ClientConnectorError:
                continue
            except ClientError:
                return "broken"
            if result[2] != "not_run":
                return result
        return "not_run"

    def _check(self, backends, result):
        runs = sum(len(backend.requests) for backend in backends)
        self.assertLessEqual(runs, 1)
        if isinstance(result, CancelledError):
            return
        if result == "not_run":
            self.assertEqual(0, runs)
        elif isinstance(result, tuple) and result[0] == 200:
            self.assertEqual(WHOLE_ANSWER, result[1])
            effects = sum(len(backend.effects) for backend in backends)
            self.assertEqual(1, effects)
        elif isinstance(result, tuple):
            self.assertEqual((502, None), (result[0], result[2]))
        else:
            self.assertEqual("broken", result)
