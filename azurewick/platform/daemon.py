"""Command that runs an entry instance on the platform."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Annotated

import typer

from azurewick.entry.application import run_entry
from azurewick.errors import AzurewickError
from azurewick.helpers.logging import setup_rate_limited_logging
from azurewick.platform.application import build_entry
from azurewick.platform.const import ENV_NODE_FILE
from azurewick.platform.settings import NodeSettingsFile

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings_file: Annotated[
        Path,
        typer.Argument(
            envvar=ENV_NODE_FILE, help="Settings file of the platform."
        ),
    ],
    check: Annotated[
        bool,
        typer.Option("--check", help="Validate the settings and exit."),
    ] = False,
) -> None:
    """Run an entry instance until SIGTERM."""
    node_file = NodeSettingsFile(settings_file)
    try:
        settings = node_file.load()
    except AzurewickError as err:
        typer.echo(f"azurewick-entry: {err}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from err
    if check:
        typer.echo(f"{settings_file}: valid settings of {settings.name}")
        return
    setup_rate_limited_logging("info")
    sys.exit(run_entry(build_entry(settings), node_file))


def main() -> None:
    """Run the command-line interface."""
    app()


if __name__ == "__main__":
    main()
