"""Tests of the admission floor that is set before a request is shed."""

from __future__ import annotations

from asyncio import create_task
from asyncio import Event
from asyncio import gather
import socket
from unittest import IsolatedAsyncioTestCase

from grpclib.server import Server

from azurewick.control.control_grpc import AgentControlBase
from azurewick.control.control_pb2 import AdmissionFloorReply
from azurewick.errors import ErrorCode
from azurewick.gateway.shedding import _RoundState
from azurewick.gateway.shedding import FloorConfirmer
from azurewick.gateway.shedding import GrpcFloorClient
from tests.gateway.builders import async_answer
from tests.gateway.builders import async_wait_for
from tests.gateway.builders import create_snapshot
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import FixedCluster
from tests.gateway.builders import GatewayBench
from tests.gateway.builders import get_error
from tests.gateway.builders import refuse_with
from tests.gateway.doubles import FakeFloorClient
from tests.gateway.stubs import AllAgentsRound


class SheddingTest(IsolatedAsyncioTestCase):
    """Guards against shedding a request while a lower tier is served.

    That happens when the gateway sheds a request before all agents of the
    pool have acknowledged the floor.
    """

    def create_agents(self, code: ErrorCode) -> list[FakeAgent]:
        return [
            FakeAgent(f"agent-{i}", behaviour=refuse_with(code))
            for i in range(4)
        ]

    async def test_floor_is_set_before_the_refusal(self):
        cases = (
            ("quick", ErrorCode.OVERLOADED, 0),
            ("quick", ErrorCode.TARGET_UNREACHABLE, 0),
            ("quick", ErrorCode.DISPLACED, 0),
            # No class of the pool has a lower tier.
            ("draft", ErrorCode.OVERLOADED, None),
            # These codes don't mean a lack of capacity.
            ("quick", ErrorCode.DRAINING, None),
            ("quick", ErrorCode.POISON_REQUEST, None),
        )
        for request_class, code, floor in cases:
            with self.subTest(code, request_class=request_class):
                async with GatewayBench(*self.create_agents(code)) as bench:
                    may_ack = Event()
                    bench.floor_client.before_ack = may_ack.wait
                    post = create_task(bench.async_post(request_class))
                    calls = bench.floor_client.calls
                    if floor is not None:
                        await async_wait_for(lambda c=calls: len(c) == 4)
                        self.assertFalse(post.done())
                        self.assertEqual(
                            {(f"agent-{i}", floor) for i in range(4)},
                            set(calls),
                        )
                    may_ack.set()
                    _, body = await post
                    self.assertEqual((code, "not_run"), get_error(body))
                    self.assertEqual(floor is None, not calls)
                    self.assertLessEqual(bench.dispatch_count, 3)

    async def test_capacity_freed_by_the_floor_is_used(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        free_agent = FakeAgent("agent-9")
        async with GatewayBench(*agents[:2], free_agent) as bench:

            async def async_check_not_offered() -> None:
                self.assertEqual([], free_agent.offers)

            bench.floor_client.before_ack = async_check_not_offered
            self.assertEqual(200, (await bench.async_post())[0])
            self.assertEqual(3, len(bench.floor_client.calls))

    async def test_waiting_requests_share_a_round(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        async with GatewayBench(*agents) as bench:
            may_ack = Event()
            bench.floor_client.before_ack = may_ack.wait
            posts = [create_task(bench.async_post()) for _ in range(20)]
            # The retry budget is less than 20 retries. The requests that
            # get no retry need the floor as well.
            await async_wait_for(lambda: bench.dispatch_count >= 30)
            may_ack.set()
            for status, _ in await gather(*posts):
                self.assertEqual(503, status)
            self.assertEqual(
                1, bench.components.floor_confirmer.rounds_started
            )
            self.assertEqual(4, len(bench.floor_client.calls))

    async def test_request_is_not_shed_without_confirmation(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        async with GatewayBench(*agents) as bench:
            bench.floor_client.silent_agents = {"agent-3"}
            bench.components.floor_confirmer._round_timeout_s = 0.5
            _, body = await bench.async_post()
            self.assertEqual(("not_ready", "not_run"), get_error(body))


class FloorConfirmerTest(IsolatedAsyncioTestCase):
    """Guards against confirmed floors that an agent has not set.

    That happens when a confirmation is reused after a server has joined or
    after the floor has expired, or when the floors of some agents expire
    while a round waits for another agent.
    """

    def setUp(self):
        self.cluster = FixedCluster(create_snapshot())
        self.client = FakeFloorClient()
        self.rounds = []
        for name in ("agent-1", "agent-2"):
            self.cluster.servers[name] = FakeAgent(name).server
        self.confirmer = FloorConfirmer(
            self.cluster, self.client, self.create_round
        )

    def create_round(self, agents, now_s):
        """Return a round in which the second failed call ends the permit."""

        class Round(AllAgentsRound):
            failures = 0

            def record_unreachable(self, agent, now_s):
                self.failures += 1
                if self.failures == 2:
                    self.record_ack(agent, now_s)

        self.rounds.append(agents)
        return Round(agents, now_s)

    async def test_confirmation_is_reused_only_where_it_holds(self):
        for tier, action, messages in (
            (0, lambda: None, 2),
            (0, lambda: None, 0),
            # A floor at tier 0 is valid for all lower tiers as well.
            (1, lambda: None, 0),
            (2, lambda: None, 0),
            # A server that joins the pool has no floor yet.
            (0, self.add_server, 3),
            # A server that is no longer listed still runs its queue.
            (0, lambda: self.cluster.servers.pop("agent-1"), 0),
            (0, self.expire_confirmations, 3),
        ):
            with self.subTest(tier=tier, messages=messages):
                action()
                before = len(self.client.calls)
                self.assertTrue(
                    await self.confirmer.async_confirm("models", tier)
                )
                self.assertEqual(messages, len(self.client.calls) - before)

    def add_server(self):
        self.cluster.servers["agent-3"] = FakeAgent("agent-3").server

    def expire_confirmations(self):
        for pool, item in tuple(self.confirmer._confirmed.items()):
            self.confirmer._confirmed[pool] = type(item)(
                item.floor_tier, item.agents, item.valid_from_s - 1000.0
            )

    async def test_floors_are_renewed_while_a_round_waits(self):
        now_s = 100.0
        state = _RoundState(
            dict(self.cluster.servers),
            AllAgentsRound(tuple(self.cluster.servers), now_s),
        )
        state.record_ack("agent-1", now_s, now_s)
        state.floor_round.record_unreachable("agent-2", now_s)
        for elapsed_s, names, is_confirmed in (
            (0.1, ["agent-2"], False),
            (2.0, ["agent-1", "agent-2"], False),
            # The permit of agent-2 has ended, but the floor of agent-1 has
            # expired too.
            (5.1, ["agent-1", "agent-2"], False),
        ):
            time_s = now_s + elapsed_s
            waiting = [item.name for item in state.find_agents_to_call(time_s)]
            self.assertEqual(names, waiting)
            self.assertEqual(is_confirmed, state.is_confirmed(time_s))
        state.record_ack("agent-1", now_s + 5.0, now_s + 5.0)
        self.assertTrue(state.is_confirmed(now_s + 5.1))

    async def test_silent_server_that_left_is_removed_after_a_round(self):
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        del self.cluster.servers["agent-1"]
        self.client.silent_agents = {"agent-1"}
        self.expire_confirmations()
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        self.expire_confirmations()
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        self.assertEqual(("agent-2",), self.rounds[-1])


class LateAnswerTest(IsolatedAsyncioTestCase):
    """Guards against stopping lower tiers for a few late requests.

    A request that no server can answer in time would otherwise be shed,
    which raises the floor of the whole pool.
    """

    async def test_a_few_requests_are_answered_late_instead_of_shed(self):
        refuse = refuse_with(ErrorCode.TARGET_UNREACHABLE)

        async def async_answer_late(agent, request):
            if agent.offers[-1]["budget_s"] is not None:
                return await refuse(agent, request)
            return await async_answer(agent, request)

        agent = FakeAgent("agent-1", behaviour=async_answer_late)
        async with GatewayBench(
            agent, snapshot=create_snapshot(target={"first_token_s": 5})
        ) as bench:
            statuses = [(await bench.async_post())[0] for _ in range(2)]
            # The budget allows one late answer. The second request is shed
            # after the floor was set.
            self.assertEqual([200, 503], statuses)
            self.assertEqual([("agent-1", 0)], bench.floor_client.calls)
            self.assertEqual(3, len(agent.offers))


class FakeAgentControl(AgentControlBase):
    """Control service of an agent whose floor is always floor_tier."""

    def __init__(self, floor_tier: int) -> None:
        self.floor_tier = floor_tier
        self.requests = []

    async def SetAdmissionFloor(self, stream):
        """Reply with the fixed tier."""
        self.requests.append(await stream.recv_message())
        await stream.send_message(
            AdmissionFloorReply(floor_tier=self.floor_tier)
        )

    async def Order(self, stream):
        """Do nothing: the test doesn't call it."""

    async def Probe(self, stream):
        """Do nothing: the test doesn't call it."""


class GrpcFloorClientTest(IsolatedAsyncioTestCase):
    """Guards against counting a call that did not set the floor.

    That happens when the agent's reply has a less restrictive floor, or when
    the call fails.
    """

    async def test_acknowledgements(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            closed_port = free.getsockname()[1]
        for name, floor_tier, expected in (
            ("same floor", 1, True),
            ("more restrictive floor", 0, True),
            ("floor not set", 9, False),
            ("no connection", None, False),
        ):
            with self.subTest(name):
                control = FakeAgentControl(floor_tier or 0)
                server = Server([control])
                port = closed_port
                if floor_tier is not None:
                    with socket.socket() as sock:
                        sock.bind(("127.0.0.1", 0))
                        sock.listen()
                        port = sock.getsockname()[1]
                        await server.start(sock=sock.dup())
                agent = FakeAgent("agent-1")
                agent.address = f"127.0.0.1:{port}"
                client = GrpcFloorClient("gateway-1")
                self.assertEqual(
                    expected, await client.async_set_floor(agent.server, 1)
                )
                for request in control.requests:
                    self.assertEqual(5000, request.hold_ms)
                    self.assertEqual(1, request.floor_tier)
                client.close_connections_except(frozenset())
                if floor_tier is not None:
                    server.close()
                    await server.wait_closed()
