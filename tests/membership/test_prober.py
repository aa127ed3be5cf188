"""Tests of the prober."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from grpclib.server import Server

from azurewick.control import control_pb2 as pb
from azurewick.control.channels import open_listener
from azurewick.control.control_grpc import AgentControlBase
from azurewick.membership.prober import Prober
from azurewick.membership.view import MembershipView
from tests.control.builders import SilentServer
from tests.membership.builders import agent_spec
from tests.membership.builders import async_until
from tests.membership.builders import update_list


class StubAgent(AgentControlBase):
    """Agent that answers probes and has no other calls."""

    def __init__(self):
        self.reply = pb.ProbeReply(ready=True)

    async def Probe(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self.reply)

    async def SetAdmissionFloor(self, stream):  # noqa: N802
        raise NotImplementedError

    async def Order(self, stream):  # noqa: N802
        raise NotImplementedError


class ProberTest(IsolatedAsyncioTestCase):
    """Guards against new work for a server whose agent doesn't answer.

    After one failure the server is probed. It is kept if its agent is ready
    and ejected if the agent isn't, hangs or refuses the connection.
    """

    async def test_failed_servers_are_probed_until_ejected_or_ready(self):
        listener = open_listener("127.0.0.1:0")
        agent = StubAgent()
        server = Server([agent])
        await server.start(sock=listener)
        silent = SilentServer()
        address = await silent.async_start()
        self.addCleanup(silent.server.close)
        good = f"127.0.0.1:{listener.getsockname()[1]}"
        view = MembershipView()
        specs = {
            "good": agent_spec(address=good),
            "frozen": agent_spec(address=address),
            "refused": agent_spec(address="127.0.0.1:1"),
        }
        update_list(view, specs, 1, 0.0)
        loop = asyncio.get_running_loop()
        loads = []
        prober = Prober(
            "gateway-1", view, loop.time, lambda *load: loads.append(load)
        )
        agent.reply.load.backend_server = "good"
        for name in specs:
            view.record_failure(name, loop.time())
        task = asyncio.create_task(prober.async_run())
        await async_until(
            lambda: {s.name for s in view.backend_servers("chat")} == {"good"}
        )
        self.assertTrue(loads)
        agent.reply.ready = False
        view.record_failure("good", loop.time())
        await async_until(lambda: not view.backend_servers("chat"))
        task.cancel()
        server.close()
        await server.wait_closed()
