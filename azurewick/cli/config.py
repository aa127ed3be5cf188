"""Commands for the fleet configuration."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from difflib import unified_diff
import json
from pathlib import Path
from typing import Annotated
from typing import Any
from uuid import uuid4

import typer

from azurewick.cli.const import ExitCode
from azurewick.cli.context import CommandContext
from azurewick.cli.context import get_context
from azurewick.cli.context import run_command
from azurewick.configuration.coordinator import ConfigurationCoordinator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.clock import monotonic_s
from azurewick.store.protocols import StoredObject

DEFAULT_WAIT_TIMEOUT_S = 30.0

app = typer.Typer(no_args_is_help=True, help="Configuration of the fleet.")


@asynccontextmanager
async def async_open_coordinator(
    command: CommandContext,
) -> AsyncIterator[ConfigurationCoordinator]:
    """Open a coordinator of the stored configuration for one command."""
    async with command.async_open_store() as store:
        yield ConfigurationCoordinator(store, monotonic_s)


@app.command("get")
def get_configuration(context: typer.Context) -> None:
    """Print the configuration as JSON.

    Example: azurewick config get > fleet.json
    """
    command = get_context(context)
    run_command(lambda: _async_get_configuration(command))


async def _async_get_configuration(command: CommandContext) -> None:
    async with async_open_coordinator(command) as coordinator:
        current = await async_read_current(coordinator)
    typer.echo(_format_spec(current.spec))
    command.print_progress(f"revision {current.version}")


@app.command("diff")
def diff_configuration(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="JSON configuration.")],
) -> None:
    """Show what applying a file would change.

    Example: azurewick config diff fleet.json
    """
    command = get_context(context)
    run_command(lambda: _async_diff_configuration(command, file))


async def _async_diff_configuration(
    command: CommandContext, file: Path
) -> None:
    spec = read_spec(file)
    async with async_open_coordinator(command) as coordinator:
        current = await async_read_current(coordinator)
    for line in unified_diff(
        _format_spec(current.spec).splitlines(),
        _format_spec(spec).splitlines(),
        fromfile=f"revision {current.version}",
        tofile=str(file),
        lineterm="",
    ):
        typer.echo(line)


@app.command("apply")
def apply_configuration(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="JSON configuration.")],
    revision: Annotated[
        int | None,
        typer.Option(
            help="Revision that the file is based on; the command fails with"
            " a conflict when the store has another one. The default is the"
            " current revision."
        ),
    ] = None,
    wait: Annotated[
        bool, typer.Option(help="Wait until it is in force at all gateways.")
    ] = False,
) -> None:
    """Validate a configuration and write it to the store.

    Example: azurewick config apply fleet.json --wait
    """
    command = get_context(context)
    run_command(
        lambda: _async_apply_configuration(command, file, revision, wait)
    )


async def _async_apply_configuration(
    command: CommandContext, file: Path, revision: int | None, wait: bool
) -> None:
    spec = read_spec(file)
    async with async_open_coordinator(command) as coordinator:
        if revision is None:
            current = await coordinator.async_get()
            revision = current.version if current is not None else 0
        await async_apply(command, coordinator, spec, revision, wait)


async def async_read_current(
    coordinator: ConfigurationCoordinator,
) -> StoredObject:
    """Return the stored configuration.

    Raises AzurewickError with code store_not_found when there is none yet.
    """
    current = await coordinator.async_get()
    if current is None:
        raise AzurewickError(
            ErrorCode.STORE_NOT_FOUND,
            "the store has no configuration yet; apply the first one with"
            " 'config apply'",
            step=Step.CONFIGURE,
        )
    return current


async def async_apply(
    command: CommandContext,
    coordinator: ConfigurationCoordinator,
    spec: dict[str, Any],
    revision: int,
    wait: bool,
) -> None:
    """Apply a configuration based on a revision and print the result.

    With wait, exits with WAIT_EXPIRED when a live gateway doesn't have it
    after DEFAULT_WAIT_TIMEOUT_S.
    """
    accepted = await coordinator.async_apply(spec, revision, str(uuid4()))
    if not wait:
        command.print_message(
            f"configuration accepted as revision {accepted.revision}",
            revision=accepted.revision,
        )
        return
    report = await coordinator.async_wait_in_force(
        accepted.revision, timeout_s=DEFAULT_WAIT_TIMEOUT_S
    )
    missing = [*report.behind, *report.unreachable]
    command.print_message(
        f"revision {accepted.revision} is in force at {report.in_force}"
        f" gateways; behind or unreachable: {', '.join(missing) or 'none'}",
        revision=accepted.revision,
        in_force=report.in_force,
        behind=report.behind,
        unreachable=report.unreachable,
    )
    if not report.is_complete:
        raise typer.Exit(ExitCode.WAIT_EXPIRED)


def read_spec(file: Path) -> dict[str, Any]:
    """Return the configuration in a JSON file.

    Raises AzurewickError with code invalid_configuration when the file can't
    be read or is not a JSON object.
    """
    try:
        spec = json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_CONFIGURATION,
            f"can't read the configuration file {file}: {err}",
            step=Step.CONFIGURE,
        ) from err
    if not isinstance(spec, dict):
        raise AzurewickError(
            ErrorCode.INVALID_CONFIGURATION,
            f"configuration file {file}: expected a JSON object",
            step=Step.CONFIGURE,
        )
    return spec


def _format_spec(spec: dict[str, Any]) -> str:
    return json.dumps(spec, indent=2, sort_keys=True)
