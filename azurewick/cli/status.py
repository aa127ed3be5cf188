"""Command that shows the state of gateways and backend servers."""

from __future__ import annotations

import asyncio

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import typer

from azurewick.cli.context import CommandContext
from azurewick.cli.context import get_context
from azurewick.cli.context import Row
from azurewick.cli.context import run_command
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

PATH_STATUS = "/v1/status"
STATUS_TIMEOUT_S = 3.0


def show_status(context: typer.Context) -> None:
    """Show pools, load and the configuration in force at each gateway.

    Example: azurewick status
    """
    command = get_context(context)
    run_command(lambda: _async_show_status(command))


async def _async_show_status(command: CommandContext) -> None:
    urls = command.load_settings().gateways
    async with ClientSession(
        timeout=ClientTimeout(total=STATUS_TIMEOUT_S)
    ) as session:
        statuses = await asyncio.gather(
            *(_async_read_status(session, url) for url in urls)
        )
    gateways: list[Row] = []
    servers: dict[str, Row] = {}
    for url, status in zip(urls, statuses, strict=True):
        if status is None:
            gateways.append({"gateway": url, "state": "unreachable"})
            continue
        gateways.append(
            {
                "gateway": status["gateway"],
                "state": "ready" if status["ready"] else "not ready",
                "configuration_revision": status["configuration_revision"],
            }
        )
        for pool, pool_status in status["pools"].items():
            for server in pool_status["servers"]:
                servers.setdefault(
                    server["name"], _describe_server(pool, server)
                )
    command.print_groups(
        {"gateways": gateways, "backend_servers": list(servers.values())}
    )
    if all(status is None for status in statuses):
        raise AzurewickError(
            ErrorCode.PEER_UNREACHABLE,
            f"none of the {len(urls)} gateways in the settings returned a"
            " status",
            step=Step.CONFIGURE,
            peer=", ".join(urls),
        )


def _describe_server(pool: str, server: Row) -> Row:
    load = server["load"] or {}
    return {
        "name": server["name"],
        "pool": pool,
        "version": server["version"],
        "failure_domain": server["failure_domain"],
        "state": server["state"],
        "running": load.get("running"),
        "queued": load.get("queued"),
        "batch_limit": load.get("batch_limit"),
        "floor_tier": load.get("floor_tier"),
    }


async def _async_read_status(session: ClientSession, url: str) -> Row | None:
    """Return the status of a gateway, None when it can't be read."""
    try:
        async with session.get(url + PATH_STATUS) as response:
            if response.status != 200:
                return None
            status: Row = await response.json()
            return status
    except (ClientError, TimeoutError, ValueError):
        return None
