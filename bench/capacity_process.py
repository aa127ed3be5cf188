"""Processes that the capacity benchmark starts.

Usage: python -m bench.capacity_process sync-server
       python -m bench.capacity_process MODE FILE

sync-server echoes each Sync message, to measure the cost of a call. Otherwise
MODE is a key of MODES, and FILE has the settings in JSON:

gateway-on, agent-on
                run with the control plane
gateway-off     runs without it: configuration and instances come from FILE
agent-off       runs without it
gateway-loaded  is gateway-on that also records as many load reports as a
                gateway receives with answers at peak load
source          is gateway-on that changes the load reports and evidence of
                the whole fleet at each Sync interval
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
import json
from pathlib import Path
from random import Random
import sys
from typing import Any
from unittest.mock import patch

from grpclib.server import Server
from grpclib.server import Stream
import uvloop

from azurewick.agent import application as agent_application
from azurewick.agent.cluster_link import ClusterLink
from azurewick.configuration.snapshot import build_snapshot
from azurewick.const import SYNC_INTERVAL_S
from azurewick.control import control_pb2 as pb
from azurewick.control.channels import open_listener
from azurewick.control.control_grpc import ControlBase
from azurewick.gateway.application import run_components
from azurewick.gateway.composition import build_gateway
from azurewick.gateway.pool import PoolState
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import BackendServer
from azurewick.models import GatewayInstance
from azurewick.models import LoadReport
from azurewick.settings.loader import parse_settings
from bench.capacity_memory import build_evidence
from bench.capacity_memory import build_loads

# Load reports come with answers: 7,800 a second over 330 gateways.
REPORTS_PER_S_PER_GATEWAY = 7800 / 330


class StaticCluster:
    """Cluster state from a file that exchanges no messages."""

    moves: tuple[dict[str, Any], ...] = ()
    is_ready = True
    incarnation = "fixed"

    def __init__(self, content: dict[str, Any]) -> None:
        self.snapshot = build_snapshot(content["configuration"], 1)
        self._view = MembershipView()
        self._view.update_list(parse_instances(content["instances"]), 1, 0.0)

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the backend servers that the file lists."""
        return self._view.backend_servers(pool)

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return the gateways that the file lists."""
        return self._view.gateways()

    def record_failure(self, name: str, now_s: float) -> None:
        """Ignore a failure."""

    def record_success(self, name: str, now_s: float) -> None:
        """Ignore a success."""

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Ignore a load report."""

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Ignore a listener: nothing changes."""
        return lambda: None

    def async_add_load_listener(
        self, listener: Callable[[LoadReport], None]
    ) -> None:
        """Ignore a listener: no report arrives."""

    async def async_start(self) -> None:
        """Start nothing."""

    async def async_stop(self) -> None:
        """Stop nothing."""


class EchoSync(ControlBase):
    """Sync service that replies with as many bytes as it received."""

    async def Sync(  # noqa: N802 - name of the protocol
        self, stream: Stream[pb.SyncRequest, pb.SyncReply]
    ) -> None:
        """Answer a call."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(pb.SyncReply(packed=request.packed))


class OfflineClusterLink(ClusterLink):
    """Cluster link of an agent that calls no gateway."""

    async def start(self) -> None:
        """Start nothing; no Sync calls are made."""

    def share_load(self) -> None:
        """Renew the permit to dispatch lower tiers, as Sync calls would."""
        self.agent.dispatcher.record_contact()


async def _async_run_echo_server(write_line: Callable[[str], None]) -> None:
    listener = open_listener("127.0.0.1:0")
    server = Server([EchoSync()])
    await server.start(sock=listener)
    write_line(f"{listener.getsockname()[1]}\n")
    await server.wait_closed()


def _write_line(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()


class PeakLoadReports:
    """Service that records load reports at the rate of peak load."""

    def __init__(self, components: GatewayComponents, agents: int) -> None:
        self._components = components
        self._agents = agents
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to record reports."""
        self._task = asyncio.create_task(self._async_run())

    async def async_stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        cluster = self._components.cluster
        changed = asyncio.Event()
        remove_listener = cluster.async_add_listener(changed.set)
        if cluster.snapshot is None:
            await changed.wait()
        remove_listener()
        # The list of instances arrives soon after the configuration.
        await asyncio.sleep(SYNC_INTERVAL_S)
        assert cluster.snapshot is not None
        pools = [
            PoolState(pool, self._components)
            for pool in cluster.snapshot.pools
        ]
        for pool in pools:
            pool.refresh(monotonic_s())
        random = Random(1)
        reports = build_loads(self._agents).loads
        while True:
            await asyncio.sleep(random.expovariate(REPORTS_PER_S_PER_GATEWAY))
            report = replace(
                random.choice(reports), running=random.randrange(64)
            )
            cluster.record_load(report, monotonic_s())


class FleetDigestSource:
    """Service that changes load reports and evidence of the whole fleet."""

    def __init__(
        self, components: GatewayComponents, gateways: int, agents: int
    ) -> None:
        self._cluster: Any = components.cluster
        self._evidence = build_evidence(gateways).evidence
        self._loads = build_loads(agents).loads
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to change the digest entries."""
        self._task = asyncio.create_task(self._async_run())

    async def async_stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        random = Random(2)
        while True:
            now_s = monotonic_s()
            for load in self._loads:
                running = random.randrange(64)
                self._cluster.record_load(
                    replace(load, running=running), now_s
                )
            self._evidence = tuple(
                replace(count, requests=count.requests + random.randrange(60))
                for count in self._evidence
            )
            self._cluster.record_evidence(self._evidence, now_s)
            await asyncio.sleep(SYNC_INTERVAL_S)


def _read_file(path: Path) -> tuple[dict[str, Any], Any]:
    content = json.loads(path.read_text(encoding="utf-8"))
    return content, parse_settings(json.dumps(content["settings"]))


def _run_gateway_off(path: Path) -> int:
    content, settings = _read_file(path)
    components = build_gateway(settings)
    components.cluster = StaticCluster(content)
    # Leave out the rollout service, which belongs to the control plane.
    components.services = components.services[:1]
    return run_components(components)


def _run_gateway_loaded(path: Path) -> int:
    content, settings = _read_file(path)
    components = build_gateway(settings)
    components.services += (PeakLoadReports(components, content["agents"]),)
    return run_components(components)


def _run_digest_source(path: Path) -> int:
    content, settings = _read_file(path)
    components = build_gateway(settings)
    components.services += (
        FleetDigestSource(components, content["gateways"], content["agents"]),
    )
    return run_components(components)


def _run_agent_off(path: Path) -> int:
    with patch.object(agent_application, "ClusterLink", OfflineClusterLink):
        return agent_application.run_agent(_read_file(path)[1])


MODES: dict[str, Callable[[Path], int]] = {
    "gateway-on": lambda path: run_components(
        build_gateway(_read_file(path)[1])
    ),
    "gateway-off": _run_gateway_off,
    "gateway-loaded": _run_gateway_loaded,
    "source": _run_digest_source,
    "agent-on": lambda path: agent_application.run_agent(_read_file(path)[1]),
    "agent-off": _run_agent_off,
}


def main(arguments: list[str]) -> int:
    """Run the process that the arguments name."""
    if arguments[0] == "sync-server":
        # Gateways and agents run on uvloop too.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_async_run_echo_server(_write_line))
        return 0
    return MODES[arguments[0]](Path(arguments[1]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
