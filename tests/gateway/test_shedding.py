"""Tests of the admission floor that precedes each shed request."""

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
    """Guards against a shed request while a lower tier is served."""

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
            # These are not refusals for lack of capacity.
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

    async def test_room_freed_by_the_floor_is_used(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        last = FakeAgent("agent-9")
        async with GatewayBench(*agents[:2], last) as bench:

            async def async_check() -> None:
                self.assertEqual([], last.offers)

            bench.floor_client.before_ack = async_check
            self.assertEqual(200, (await bench.async_post())[0])
            self.assertEqual(3, len(bench.floor_client.calls))

    async def test_waiting_requests_share_a_round(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        async with GatewayBench(*agents) as bench:
            may_ack = Event()
            bench.floor_client.before_ack = may_ack.wait
            posts = [create_task(bench.async_post()) for _ in range(20)]
            # The retry budget ends below 20 first offers and 20 others: the
            # requests without a retry need the floor as well.
            await async_wait_for(lambda: bench.dispatch_count >= 30)
            may_ack.set()
            for status, _ in await gather(*posts):
                self.assertEqual(503, status)
            self.assertEqual(1, bench.components.floor.rounds_started)
            self.assertEqual(4, len(bench.floor_client.calls))

    async def test_request_is_not_shed_without_confirmation(self):
        agents = self.create_agents(ErrorCode.OVERLOADED)
        async with GatewayBench(*agents) as bench:
            bench.floor_client.silent = {"agent-3"}
            bench.components.floor._round_timeout_s = 0.5
            _, body = await bench.async_post()
            self.assertEqual(("not_ready", "not_run"), get_error(body))


class FloorConfirmerTest(IsolatedAsyncioTestCase):
    """Guards against confirmations that miss an agent."""

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
        """Return a round in which a second failure ends the permit."""

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
            # A floor at tier 0 holds for the tiers below as well.
            (1, lambda: None, 0),
            (2, lambda: None, 0),
            # A server that joins the pool has no floor yet.
            (0, self.add_server, 3),
            # A server that left the list works off its queue.
            (0, lambda: self.cluster.servers.pop("agent-1"), 0),
            (0, self.expire, 3),
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

    def expire(self):
        for pool, item in tuple(self.confirmer._confirmed.items()):
            self.confirmer._confirmed[pool] = type(item)(
                item.floor_tier, item.agents, item.acked_s - 1000.0
            )

    async def test_floors_are_renewed_while_a_round_waits(self):
        now_s = 100.0
        state = _RoundState(
            dict(self.cluster.servers),
            AllAgentsRound(tuple(self.cluster.servers), now_s),
        )
        state.record_ack("agent-1", now_s, now_s)
        state.floor_round.record_unreachable("agent-2", now_s)
        for later_s, names, is_confirmed in (
            (0.1, ["agent-2"], False),
            (2.0, ["agent-1", "agent-2"], False),
            # The permit of agent-2 has ended, but also agent-1's floor.
            (5.1, ["agent-1", "agent-2"], False),
        ):
            time_s = now_s + later_s
            waiting = [item.name for item in state.find_waiting(time_s)]
            self.assertEqual(names, waiting)
            self.assertEqual(is_confirmed, state.is_confirmed(time_s))
        state.record_ack("agent-1", now_s + 5.0, now_s + 5.0)
        self.assertTrue(state.is_confirmed(now_s + 5.1))

    async def test_silent_server_that_left_is_waited_for_once(self):
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        del self.cluster.servers["agent-1"]
        self.client.silent = {"agent-1"}
        self.expire()
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        self.expire()
        self.assertTrue(await self.confirmer.async_confirm("models", 0))
        self.assertEqual(("agent-2",), self.rounds[-1])


class LateAnswerTest(IsolatedAsyncioTestCase):
    """Guards against floors that one request past its target would raise."""

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
            # The budget allows one; the second is shed under the floor.
            self.assertEqual([200, 503], statuses)
            self.assertEqual([("agent-1", 0)], bench.floor_client.calls)
            self.assertEqual(3, len(agent.offers))


class AgentControl(AgentControlBase):
    """Agent that sets each floor to a fixed tier."""

    def __init__(self, floor_tier: int) -> None:
        self.floor_tier = floor_tier
        self.requests = []

    async def SetAdmissionFloor(self, stream):
        """Answer with the tier in force."""
        self.requests.append(await stream.recv_message())
        await stream.send_message(
            AdmissionFloorReply(floor_tier=self.floor_tier)
        )

    async def Order(self, stream):
        """Refuse."""

    async def Probe(self, stream):
        """Refuse."""


class GrpcFloorClientTest(IsolatedAsyncioTestCase):
    """Guards against an acknowledgement that an agent did not give."""

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
                control = AgentControl(floor_tier or 0)
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
                client.keep_only(frozenset())
                if floor_tier is not None:
                    server.close()
                    await server.wait_closed()
