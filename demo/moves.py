"""Version moves of the demonstration."""

from __future__ import annotations

import asyncio
import json
import sys

from demo.fleet import Fleet

POLL_INTERVAL_S = 0.5
FINAL_STATES = ("done", "rolled_back", "cancelled")


async def async_run_command(fleet: Fleet, *arguments: str) -> str:
    """Run the command-line tool and return what it printed.

    Raises RuntimeError when it fails.
    """
    path = fleet.directory / "operator.json"
    settings = {
        "store": {"url": fleet.store_url},
        "gateways": list(fleet.gateway_urls.values()),
    }
    path.write_text(json.dumps(settings), encoding="utf-8")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "azurewick.cli.main",
        "--settings",
        str(path),
        "--output",
        "json",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(f"azurewick {arguments}: {errors.decode()}")
    return output.decode()


async def async_request_move(
    fleet: Fleet, request_class: str, version: str, by_time_s: float
) -> None:
    """Ask for a version move with the command-line tool."""
    await async_run_command(
        fleet,
        "version",
        "move",
        request_class,
        version,
        "--by",
        str(by_time_s),
    )


async def async_wait_for_move(
    fleet: Fleet, request_class: str, version: str, timeout_s: float
) -> str:
    """Wait for the end of a move and return its state."""
    state = "unknown"
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        rows = json.loads(await async_run_command(fleet, "version", "status"))
        for row in rows:
            if (row["class"], row["version"]) == (request_class, version):
                state = row["state"]
        if state in FINAL_STATES:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return state
