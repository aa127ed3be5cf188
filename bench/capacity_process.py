"""Processes that the capacity benchmark starts.

Usage: python -m bench.capacity_process sync-server | gateway-off FILE
| agent-off FILE. The last two run a daemon with its control part off: the
configuration and the servers come from the file and nothing is exchanged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
from pathlib import Path
import sys
from typing import Any
from unittest.mock import patch

from grpclib.server import Server
from grpclib.server import Stream
import uvloop

from azurewick.agent import application as agent_application
from azurewick.agent.cluster_link import ClusterLink
from azurewick.configuration.snapshot import build_snapshot
from azurewick.control import control_pb2 as pb
from azurewick.control.channels import open_listener
from azurewick.control.control_grpc import ControlBase
from azurewick.gateway.application import run_components
from azurewick.gateway.composition import build_gateway
from azurewick.gateway.wiring import UnknownCluster
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import BackendServer
from azurewick.settings.loader import parse_settings
from azurewick.settings.models import AgentSettings
from azurewick.settings.models import GatewaySettings


class FixedCluster(UnknownCluster):
    """Cluster state from a file; it exchanges nothing."""

    is_ready = True
    incarnation = "fixed"

    def __init__(self, content: dict[str, Any]) -> None:
        self.snapshot = build_snapshot(content["configuration"], 1)
        self._view = MembershipView()
        self._view.update_list(
            parse_instances(content["instances"]), 1, 0.0
        )

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the servers of the file."""
        return self._view.backend_servers(pool)


class EchoSync(ControlBase):
    """Sync that returns as many bytes as it gets."""

    async def Sync(  # noqa: N802 - name of the protocol
        self, stream: Stream[pb.SyncRequest, pb.SyncReply]
    ) -> None:
        """Answer a call."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(pb.SyncReply(packed=request.packed))


class IdleLink(ClusterLink):
    """Link of an agent that calls no gateway."""

    async def start(self) -> None:
        """Start nothing; the permit is held as if calls succeeded."""

    def share_load(self) -> None:
        """Keep the permit."""
        self.agent.dispatcher.record_contact()


async def _async_serve(announce: Callable[[str], None]) -> None:
    listener = open_listener("127.0.0.1:0")
    server = Server([EchoSync()])
    await server.start(sock=listener)
    announce(f"{listener.getsockname()[1]}\n")
    await server.wait_closed()


def _announce(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()


def _run_gateway(path: Path) -> int:
    content = json.loads(path.read_text(encoding="utf-8"))
    settings = parse_settings(json.dumps(content["settings"]))
    assert isinstance(settings, GatewaySettings)
    components = build_gateway(settings)
    components.cluster = FixedCluster(content)
    # The rollout service belongs to the control part.
    components.services = components.services[:1]
    return run_components(components)


def _run_agent(path: Path) -> int:
    content = json.loads(path.read_text(encoding="utf-8"))
    settings = parse_settings(json.dumps(content["settings"]))
    assert isinstance(settings, AgentSettings)
    with patch.object(agent_application, "ClusterLink", IdleLink):
        return agent_application.run_agent(settings)


def main(arguments: list[str]) -> int:
    """Run the process that the arguments name."""
    if arguments[0] == "sync-server":
        # The daemons run on uvloop as well.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_async_serve(_announce))
        return 0
    run = _run_gateway if arguments[0] == "gateway-off" else _run_agent
    return run(Path(arguments[1]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
