"""Entry point of the azurewick command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from azurewick.cli.config import app as config_app
from azurewick.cli.const import DEFAULT_SETTINGS_FILE
from azurewick.cli.const import ENV_SETTINGS_FILE
from azurewick.cli.context import CommandContext
from azurewick.cli.context import OutputFormat
from azurewick.cli.explain import explain_request
from azurewick.cli.status import show_status
from azurewick.cli.target import app as target_app
from azurewick.cli.version import app as version_app

app = typer.Typer(
    no_args_is_help=True,
    help="Manage azurewick: targets, configuration and version moves.",
)
app.add_typer(config_app, name="config")
app.add_typer(target_app, name="target")
app.add_typer(version_app, name="version")
app.command("status")(show_status)
app.command("explain")(explain_request)


@app.callback()
def set_global_options(
    context: typer.Context,
    settings_file: Annotated[
        Path,
        typer.Option(
            "--settings",
            envvar=ENV_SETTINGS_FILE,
            help="JSON file with the store's URL and the gateways.",
        ),
    ] = Path(DEFAULT_SETTINGS_FILE),
    output: Annotated[
        OutputFormat, typer.Option(help="Output format.")
    ] = OutputFormat.TABLE,
) -> None:
    """Manage azurewick: targets, configuration and version moves."""
    context.obj = CommandContext(settings_file=settings_file, output=output)


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
