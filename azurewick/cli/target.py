"""Commands for the targets of request classes."""

from __future__ import annotations

from typing import Annotated
from typing import Any

import typer

from azurewick.cli.config import async_apply
from azurewick.cli.config import async_open_coordinator
from azurewick.cli.config import async_read_current
from azurewick.cli.context import CommandContext
from azurewick.cli.context import get_context
from azurewick.cli.context import run_command
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

app = typer.Typer(no_args_is_help=True, help="Targets of request classes.")


@app.command("list")
def list_targets(context: typer.Context) -> None:
    """List the classes with their tiers and targets.

    Example: azurewick target list
    """
    command = get_context(context)
    run_command(lambda: _async_list_targets(command))


async def _async_list_targets(command: CommandContext) -> None:
    async with async_open_coordinator(command) as coordinator:
        current = await async_read_current(coordinator)
    rows = [
        {
            "class": item["name"],
            "pool": item["pool"],
            "tier": item["tier"],
            **item.get("target", {}),
            "repeatable": item.get("repeatable", True),
        }
        for item in current.spec["classes"]
    ]
    command.print_rows("Targets", rows)


@app.command("set")
def set_target(
    context: typer.Context,
    request_class: Annotated[str, typer.Argument(help="Name of the class.")],
    first_token_s: Annotated[
        float | None, typer.Option(help="Seconds until the first token.")
    ] = None,
    inter_token_s: Annotated[
        float | None, typer.Option(help="Seconds between tokens.")
    ] = None,
    completion_s: Annotated[
        float | None, typer.Option(help="Seconds until the whole answer.")
    ] = None,
    wait: Annotated[
        bool, typer.Option(help="Wait until it is in force at all gateways.")
    ] = False,
) -> None:
    """Set parts of the target of a class and keep the other parts.

    Example: azurewick target set quick-answer --first-token-s 1.5 --wait
    """
    command = get_context(context)
    options = {
        "first_token_s": first_token_s,
        "inter_token_s": inter_token_s,
        "completion_s": completion_s,
    }
    changes = {name: v for name, v in options.items() if v is not None}
    run_command(
        lambda: _async_set_target(command, request_class, changes, wait)
    )


async def _async_set_target(
    command: CommandContext,
    request_class: str,
    changes: dict[str, float],
    wait: bool,
) -> None:
    if not changes:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            "set at least one part of the target, for example"
            " --first-token-s 1.5",
            step=Step.CONFIGURE,
        )
    async with async_open_coordinator(command) as coordinator:
        current = await async_read_current(coordinator)
        spec = replace_target(current.spec, request_class, changes)
        await async_apply(command, coordinator, spec, current.version, wait)


def replace_target(
    spec: dict[str, Any], request_class: str, changes: dict[str, float]
) -> dict[str, Any]:
    """Return the configuration with a changed target.

    Raises AzurewickError with code unknown_class.
    """
    names = [item["name"] for item in spec["classes"]]
    if request_class not in names:
        raise AzurewickError(
            ErrorCode.UNKNOWN_CLASS,
            f"no class {request_class!r}; classes are {', '.join(names)}",
            step=Step.CONFIGURE,
        )
    classes = [
        item | {"target": item.get("target", {}) | changes}
        if item["name"] == request_class
        else item
        for item in spec["classes"]
    ]
    return spec | {"classes": classes}
