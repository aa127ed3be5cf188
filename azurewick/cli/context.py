"""Context of one command: settings, store and output."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum
import json
from pathlib import Path
import sys
from typing import Any
from typing import cast

from rich.console import Console
from rich.table import Table
import typer

from azurewick.cli.const import ADVICE_BY_EXIT_CODE
from azurewick.cli.const import EXIT_CODE_BY_ERROR
from azurewick.cli.const import ExitCode
from azurewick.errors import AzurewickError
from azurewick.settings.client import ClientSettings
from azurewick.settings.client import load_client_settings
from azurewick.store.client import ObjectApiClient
from azurewick.store.factory import open_store

Row = dict[str, Any]

NON_TERMINAL_COLUMNS = 1000


class OutputFormat(StrEnum):
    """Output format."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandContext:
    """Global options of a command, with access to store and output."""

    settings_file: Path
    output: OutputFormat

    def load_settings(self) -> ClientSettings:
        """Return the validated settings."""
        return load_client_settings(self.settings_file)

    @asynccontextmanager
    async def async_open_store(self) -> AsyncIterator[ObjectApiClient]:
        """Open the platform's object API for one command."""
        store = open_store(self.load_settings().store)
        try:
            yield store
        finally:
            await store.async_close()

    def print_rows(self, title: str, rows: list[Row]) -> None:
        """Print rows as a table or as a JSON list."""
        if self.output is OutputFormat.JSON:
            typer.echo(json.dumps(rows, indent=2))
        else:
            _print_table(title, rows)

    def print_groups(self, groups: dict[str, list[Row]]) -> None:
        """Print groups of rows as tables or as one JSON object."""
        if self.output is OutputFormat.JSON:
            typer.echo(json.dumps(groups, indent=2))
            return
        for name, rows in groups.items():
            _print_table(name.replace("_", " ").capitalize(), rows)

    def print_message(self, message: str, **fields: Any) -> None:
        """Print a message, or only its fields when the output is JSON."""
        if self.output is OutputFormat.JSON:
            typer.echo(json.dumps(fields, indent=2))
        else:
            typer.echo(message)

    def print_progress(self, message: str) -> None:
        """Print a progress message to standard error."""
        print(message, file=sys.stderr, flush=True)


def _print_table(title: str, rows: list[Row]) -> None:
    table = Table(title=title)
    columns = list(dict.fromkeys(key for row in rows for key in row))
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_format_cell(row.get(c)) for c in columns))
    # Without a terminal rich assumes 80 columns and truncates long names,
    # so that a script would read incomplete ones.
    console = Console(soft_wrap=True)
    if not console.is_terminal:
        console.width = NON_TERMINAL_COLUMNS
    console.print(table)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)


def get_context(context: typer.Context) -> CommandContext:
    """Return the context that the global options set."""
    return cast(CommandContext, context.obj)


def run_command(
    async_command: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Run a command; print an error with advice and exit with its code."""
    try:
        asyncio.run(async_command())
    except AzurewickError as err:
        exit_code = EXIT_CODE_BY_ERROR.get(err.code, ExitCode.FAILURE)
        typer.echo(f"azurewick: {err}", err=True)
        advice = ADVICE_BY_EXIT_CODE.get(exit_code)
        if advice:
            typer.echo(f"azurewick: {advice}", err=True)
        raise typer.Exit(exit_code) from err
