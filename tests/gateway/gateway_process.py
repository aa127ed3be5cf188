"""Gateway process for tests, with one agent at the given address.

Runs as python -m tests.gateway.gateway_process ADDRESS DRAIN_DELAY_S.
"""

from __future__ import annotations

from dataclasses import replace
import logging
import sys

from azurewick.gateway.application import run_components
from tests.gateway.builders import create_settings
from tests.gateway.builders import create_snapshot
from tests.gateway.builders import FakeAgent
from tests.gateway.builders import FixedCluster
from tests.gateway.stubs import build_components


def main(agent_address: str, drain_delay_s: float) -> int:
    """Run the gateway; it logs its port to stderr."""
    logging.basicConfig(level=logging.INFO)
    cluster = FixedCluster(create_snapshot())
    agent = FakeAgent("agent-1")
    agent.address = agent_address
    cluster.servers[agent.name] = agent.server
    settings = create_settings(drain_delay_s=drain_delay_s)
    return run_components(replace(build_components(settings), cluster=cluster))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], float(sys.argv[2])))
