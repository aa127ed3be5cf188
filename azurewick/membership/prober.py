"""Probes of backend servers after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from grpclib.exceptions import GRPCError

from azurewick.const import PROBE_INTERVAL_S
from azurewick.control import control_pb2 as pb
from azurewick.control.channels import ChannelPool
from azurewick.control.control_grpc import AgentControlStub
from azurewick.control.conversion import load_from_message
from azurewick.membership.view import MembershipView
from azurewick.models import BackendServer
from azurewick.models import LoadReport

# Limit of the probes that a gateway sends in each PROBE_INTERVAL_S.
MAX_PROBES_PER_ROUND = 16


class Prober:
    """Probes failing servers each PROBE_INTERVAL_S until they are ready."""

    def __init__(
        self,
        node_name: str,
        view: MembershipView,
        clock: Callable[[], float],
        on_load: Callable[[LoadReport, float], None],
    ) -> None:
        self._node_name = node_name
        self._view = view
        self._clock = clock
        self._on_load = on_load
        self._channels = ChannelPool()

    async def async_run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                servers = self._view.servers_to_probe(
                    MAX_PROBES_PER_ROUND, self._clock()
                )
                await asyncio.gather(
                    *(self._async_probe(server) for server in servers),
                    asyncio.sleep(PROBE_INTERVAL_S),
                )
        finally:
            self._channels.close()

    async def _async_probe(self, server: BackendServer) -> None:
        try:
            async with asyncio.timeout(PROBE_INTERVAL_S):
                stub = AgentControlStub(
                    self._channels.get(server.control_address)
                )
                reply = await stub.Probe(pb.ProbeRequest(node=self._node_name))
        except (GRPCError, OSError, TimeoutError):
            self._view.record_failure(server.name, self._clock())
            return
        now_s = self._clock()
        if reply.load.backend_server == server.name:
            self._on_load(load_from_message(reply.load), now_s)
        if reply.ready:
            self._view.record_success(server.name, now_s)
        else:
            self._view.record_failure(server.name, now_s)
