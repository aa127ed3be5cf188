"""Status document of a gateway, read by the command-line tool."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from azurewick.gateway.execution import RequestExecutor
from azurewick.gateway.wiring import GatewayComponents
from azurewick.models import BackendServer
from azurewick.models import LoadReport


def build_status(
    components: GatewayComponents,
    executor: RequestExecutor,
    is_ready: bool,
    now_s: float,
) -> dict[str, Any]:
    """Return the status document; it contains no customer data.

    now_s is monotonic time.
    """
    cluster = components.cluster
    snapshot = cluster.snapshot
    pools = snapshot.pools if snapshot is not None else {}
    return {
        "gateway": components.settings.name,
        "region": components.settings.region,
        "failure_domain": components.settings.failure_domain,
        "ready": is_ready,
        "configuration_revision": snapshot.revision if snapshot else None,
        "running": len(executor.requests),
        "gateways": sorted(item.name for item in cluster.gateways(now_s)),
        "version_moves": len(cluster.moves),
        "pools": {
            name: {
                "kind": kind.value,
                "servers": _describe_servers(
                    cluster.backend_servers(name, now_s),
                    executor.pools[name].reports
                    if name in executor.pools
                    else {},
                ),
            }
            for name, kind in pools.items()
        },
        "counters": {
            **components.metrics.counts,
            "floor_rounds": components.floor_confirmer.rounds_started,
            "floor_messages": components.floor_confirmer.messages_sent,
        },
    }


def _describe_servers(
    servers: tuple[BackendServer, ...], reports: dict[str, LoadReport]
) -> list[dict[str, Any]]:
    return [
        {
            "name": server.name,
            "version": server.version,
            "region": server.region,
            "failure_domain": server.failure_domain,
            "state": server.state.value,
            "load": (
                asdict(reports[server.name])
                if server.name in reports
                else None
            ),
        }
        for server in servers
    ]
