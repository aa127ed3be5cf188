"""Entry point of script/demo.

It ends with exit code 1 if an invariant was broken.
"""

from __future__ import annotations

import asyncio
from dataclasses import asdict
import json
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Annotated

from aiohttp import ClientSession
from aiohttp import TCPConnector
from rich.console import Console
import typer

from demo.fleet import Fleet
from demo.load import Callers
from demo.processes import ProcessGroup
from demo.report import DemoFigures
from demo.report import print_figures
from demo.scenario import Scenario

DEMO_SEED = 1


async def async_run_demo(console: Console, directory: Path) -> DemoFigures:
    """Start the fleet, run the scenario and stop the fleet.

    The logs and settings of the processes are written to the directory.
    """
    group = ProcessGroup(directory)
    try:
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            fleet = Fleet(group=group, session=session, directory=directory)
            console.print(
                "starting the fake store and servers, agents and gateways"
            )
            await fleet.async_start()
            callers = Callers(
                session=session,
                gateway_urls=list(fleet.gateway_urls.values()),
                random=Random(DEMO_SEED),
            )
            scenario = Scenario(fleet=fleet, callers=callers, console=console)
            return await scenario.async_run()
    finally:
        await asyncio.to_thread(group.stop_all)


def main(
    json_file: Annotated[
        Path | None,
        typer.Option("--json", help="Write the figures to this file."),
    ] = None,
    log_directory: Annotated[
        Path | None,
        typer.Option(help="Keep the processes' logs in this directory."),
    ] = None,
) -> None:
    """Show azurewick under load and faults on loopback."""
    console = Console()
    with TemporaryDirectory() as temporary:
        directory = log_directory or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        figures = asyncio.run(async_run_demo(console, directory))
    print_figures(console, figures)
    if json_file:
        json_file.write_text(
            json.dumps(asdict(figures), indent=2) + "\n", encoding="utf-8"
        )
    if figures.violations:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
