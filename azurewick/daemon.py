"""Entry point of azurewickd, the daemon of gateways and agents."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Annotated

import typer

from azurewick.agent.application import run_agent
from azurewick.errors import AzurewickError
from azurewick.gateway.application import run_gateway
from azurewick.helpers.logging import setup_logging
from azurewick.settings.loader import load_settings
from azurewick.settings.models import AgentSettings

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings_file: Annotated[
        Path, typer.Argument(help="JSON settings of this process.")
    ],
    check: Annotated[
        bool,
        typer.Option("--check", help="Validate the settings and exit."),
    ] = False,
) -> None:
    """Run a gateway or an agent, as the settings' role says."""
    try:
        settings = load_settings(settings_file)
    except AzurewickError as err:
        typer.echo(f"azurewickd: {err}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from err
    if check:
        typer.echo(f"{settings_file}: valid settings of {settings.role}")
        return
    setup_logging(settings.log_format, settings.log_level)
    if isinstance(settings, AgentSettings):
        sys.exit(run_agent(settings))
    sys.exit(run_gateway(settings))


def main() -> None:
    """Run the azurewickd command."""
    app()


if __name__ == "__main__":
    main()
