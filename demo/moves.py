"""Version moves with the command-line tool, and their state."""

from __future__ import annotations

import asyncio
import json
import sys

from demo.fleet import API_GROUP_PATH
from demo.fleet import Fleet

FINAL_STATES = ("done", "rolled_back", "cancelled")


async def async_run_command(fleet: Fleet, *arguments: str) -> str:
    """Run the command-line tool and return what it printed.

    Raises RuntimeError with its error output when it fails.
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
        raise RuntimeError(
            f"azurewick {arguments} ended with exit code"
            f" {process.returncode}: {errors.decode()}"
        )
    return output.decode()


async def async_request_move(
    fleet: Fleet, request_class: str, version: str, by_time_s: float
) -> None:
    """Request a version move with the command-line tool.

    by_time_s is the wall-clock time at which it should be complete.
    """
    await async_run_command(
        fleet,
        "version",
        "move",
        request_class,
        version,
        "--by",
        str(by_time_s),
    )


async def async_read_state(fleet: Fleet, request_class: str) -> str:
    """Return the state of a class's version move, "" before its first one.

    It is read from the store.
    """
    move = await fleet.async_read(
        f"{fleet.store_url}{API_GROUP_PATH}/versionmoves/{request_class}"
    )
    return str(move.get("status", {}).get("state", ""))
