"""Fault injection into a dispatch: each fault at each step, and pairs.

The gateway of these tests offers a request to a second agent only after the
outcome not_run or a connection that could not be opened.
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
from tests.agent.builders import RESPONSE_BODY
from tests.agent.builders import ScriptedBackend

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
    """Backend server that waits at one step until the fault is applied.

    effects lists the requests that it has executed.
    """

    def __init__(self, step, fault):
        super().__init__(self._async_serve_request)
        self.step = step
        self.fault = fault
        self.steps_reached = []
        self.effects = []

    async def _async_serve_request(self, backend, request, writer):
        await self._async_pause_at("after_send", writer)
        self.effects.append(request.request_id)
        await self._async_pause_at("after_effect", writer)
        length = len(RESPONSE_BODY)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode() + RESPONSE_BODY[:4])
        await writer.drain()
        await self._async_pause_at("before_end", writer)
        writer.write(RESPONSE_BODY[4:])
        await writer.drain()

    async def _async_pause_at(self, step, writer):
        if step != self.step:
            return
        self.steps_reached.append(step)
        await self.released.wait()
        if self.fault in ("backend_killed", "backend_reset"):
            writer.transport.abort()
            raise ConnectionResetError
        if self.fault == "answer_lost":
            writer.close()
            raise ConnectionResetError


class FaultMatrixTest(IsolatedAsyncioTestCase):
    """Guards against a second run, a wrong not_run and a truncated response.

    They come about when a process is killed, reset or paused between two
    steps of a dispatch and the gateway offers the request again.
    """

    async def test_each_fault_at_each_step_and_pairs(self):
        first = list(product(STEPS, FAULTS))
        # The fault of the second agent applies when the request reaches it.
        second = list(product(("after_send", "before_end"), FAULTS[:3]))
        cases = [(fault, ("none", "none")) for fault in first]
        cases += list(product(first, second))
        for case in cases:
            with self.subTest(case=case):
                await self._async_run_case(*case)

    async def _async_run_case(self, first_fault, second_fault):
        backends = [FaultyBackend(*first_fault), FaultyBackend(*second_fault)]
        async with (
            AgentHarness(backends[0]) as agent,
            AgentHarness(backends[1]) as other,
        ):
            if first_fault[0] == "before_send":
                await self._async_apply_fault(agent, first_fault[1], None)
            gateway = create_task(self._async_offer_in_turn([agent, other]))
            injectors = [
                create_task(
                    self._async_apply_fault_at_step(harness, backend, gateway)
                )
                for harness, backend in zip(
                    (agent, other), backends, strict=True
                )
            ]
            results = await gather(gateway, return_exceptions=True)
            if first_fault[0] == "after_answer":
                await self._async_apply_fault(agent, first_fault[1], gateway)
            for injector in injectors:
                injector.cancel()
            await gather(*injectors, return_exceptions=True)
            self._check_result(backends, results[0])

    async def _async_apply_fault_at_step(self, harness, backend, gateway):
        await async_wait_for(lambda: backend.steps_reached)
        await self._async_apply_fault(harness, backend.fault, gateway)
        backend.released.set()

    async def _async_apply_fault(self, harness, fault, gateway):
        if fault == "backend_killed":
            harness.backend.refuse_connections()
        elif fault == "agent_killed":
            await harness.async_kill_agent()
        elif fault == "agent_draining":
            harness.agent.set_draining(True)
        elif fault == "gateway_killed" and gateway is not None:
            gateway.cancel()
        elif fault == "backend_paused":
            for _ in range(50):
                await sleep(0)
        elif fault == "offer_repeated" and gateway is not None:
            _, _, outcome = await harness.async_dispatch(make_offer())
            self.assertNotEqual("not_run", outcome)

    async def _async_offer_in_turn(self, harnesses):
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

    def _check_result(self, backends, result):
        runs = sum(len(backend.requests) for backend in backends)
        self.assertLessEqual(runs, 1)
        if isinstance(result, CancelledError):
            return
        if result == "not_run":
            self.assertEqual(0, runs)
        elif isinstance(result, tuple) and result[0] == 200:
            self.assertEqual(RESPONSE_BODY, result[1])
            effects = sum(len(backend.effects) for backend in backends)
            self.assertEqual(1, effects)
        elif isinstance(result, tuple):
            self.assertEqual((502, None), (result[0], result[2]))
        else:
            self.assertEqual("broken", result)
