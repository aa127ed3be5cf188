"""Command that runs an entry instance, or checks its settings."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Annotated

import typer

from azurewick.errors import AzurewickError
from azurewick.platform.const import ENV_NODE_FILE
from azurewick.platform.runner import EXIT_INVALID_SETTINGS
from azurewick.platform.runner import run_instance
from azurewick.platform.settings import load_node_file

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
    try:
        if check:
            settings = load_node_file(settings_file)
            typer.echo(f"{settings_file}: valid settings of {settings.name}")
            return
        exit_code = run_instance(settings_file)
    except AzurewickError as err:
        typer.echo(f"azurewick-entry: {err}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from err
    sys.exit(exit_code)


def main() -> None:
    """Run the command-line interface."""
    app()


if __name__ == "__main__":
    main()
