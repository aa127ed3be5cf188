"""Commands for version moves."""

from __future__ import annotations

from asyncio import sleep
from dataclasses import replace
from datetime import datetime
from getpass import getuser
from typing import Annotated
from typing import Any
from uuid import uuid4

import typer

from azurewick.cli.const import ExitCode
from azurewick.cli.context import CommandContext
from azurewick.cli.context import get_context
from azurewick.cli.context import Row
from azurewick.cli.context import run_command
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.helpers.clock import wall_clock_s
from azurewick.rollout.models import MoveState
from azurewick.rollout.models import parse_move
from azurewick.rollout.models import PLURAL_VERSION_MOVES
from azurewick.rollout.models import VersionMove
from azurewick.store.client import ObjectApiClient
from azurewick.store.protocols import StoredObject

POLL_INTERVAL_S = 1.0

app = typer.Typer(
    no_args_is_help=True, help="Moves of classes to new versions."
)


def parse_time(text: str) -> float:
    """Return seconds since the epoch of an ISO time or of a number.

    Raises AzurewickError with code invalid_request.
    """
    try:
        return _read_time(text).astimezone().timestamp()
    except (ValueError, OverflowError, OSError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"--by {text!r} is no time; write 2026-12-04T18:30:00+00:00 or"
            " seconds since the epoch",
            step=Step.CONFIGURE,
        ) from err


def _read_time(text: str) -> datetime:
    try:
        seconds = float(text)
    except ValueError:
        return datetime.fromisoformat(text)
    # Refuses numbers that are no time, such as nan and 1e30.
    return datetime.fromtimestamp(seconds)


@app.command("move")
def move_version(
    context: typer.Context,
    request_class: Annotated[str, typer.Argument(help="Name of the class.")],
    version: Annotated[str, typer.Argument(help="Version to move to.")],
    by: Annotated[
        str, typer.Option("--by", help="Time by which it has to be done.")
    ],
    wait: Annotated[
        bool, typer.Option(help="Wait until the move has ended.")
    ] = False,
) -> None:
    """Move the traffic of a class to a version.

    Example: azurewick version move quick-answer v2 --by 2026-12-04T18:30
    """
    command = get_context(context)
    run_command(lambda: _async_move(command, request_class, version, by, wait))


async def _async_move(
    command: CommandContext,
    request_class: str,
    version: str,
    by: str,
    wait: bool,
) -> None:
    by_time_s = parse_time(by)
    if by_time_s <= wall_clock_s():
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"--by {by} is in the past",
            step=Step.CONFIGURE,
        )
    move = VersionMove(
        id=str(uuid4()),
        request_class=request_class,
        version=version,
        by_time_s=by_time_s,
        requested_by=getuser(),
    )
    # An object that can't be read back would break 'version status'.
    parse_move({"spec": move.as_spec()})
    async with command.async_open_store() as store:
        configured = await _async_read_class_version(store, request_class)
        move = replace(move, previous_version=configured)
        await _async_write_move(store, move)
        command.print_message(
            f"move {move.id} of {request_class} to {version} is accepted",
            id=move.id,
        )
        if wait:
            await _async_wait(command, store, move)


async def _async_read_class_version(
    store: ObjectApiClient, request_class: str
) -> str:
    """Return the version that the configuration names for a class.

    Raises AzurewickError with code unknown_class.
    """
    configuration = await store.async_get("configurations", "fleet")
    names = [item["name"] for item in configuration.spec["classes"]]
    if request_class not in names:
        raise AzurewickError(
            ErrorCode.UNKNOWN_CLASS,
            f"no class {request_class!r}; classes are {', '.join(names)}",
            step=Step.CONFIGURE,
        )
    return next(
        str(item.get("version") or "")
        for item in configuration.spec["classes"]
        if item["name"] == request_class
    )


async def _async_write_move(store: ObjectApiClient, move: VersionMove) -> None:
    """Write a move; a lost answer is resolved by reading back its id."""
    current = await _async_read(store, move.request_class)
    try:
        if current is None:
            await store.async_create(
                PLURAL_VERSION_MOVES, move.request_class, move.as_spec()
            )
            return
        previous = _find_version(current) or move.previous_version
        move = replace(move, previous_version=previous)
        await store.async_update(replace(current, spec=move.as_spec()))
    except AzurewickError as err:
        if err.outcome is not Outcome.UNKNOWN:
            raise
        written = await _async_read(store, move.request_class)
        if written is None or written.spec.get("id") != move.id:
            raise


async def _async_read(
    store: ObjectApiClient, request_class: str
) -> StoredObject | None:
    try:
        return await store.async_get(PLURAL_VERSION_MOVES, request_class)
    except AzurewickError as err:
        if err.code is ErrorCode.STORE_NOT_FOUND:
            return None
        raise


def _parse(item: StoredObject) -> VersionMove:
    return parse_move({"spec": item.spec, "status": item.status})


def _find_version(item: StoredObject) -> str:
    """Return the version that serves a class now.

    Raises AzurewickError with code store_conflict while a move progresses.
    """
    move = _parse(item)
    if move.is_progressing:
        raise AzurewickError(
            ErrorCode.STORE_CONFLICT,
            f"move {move.id} of {move.request_class} to {move.version}"
            " progresses; cancel it first",
            step=Step.CONFIGURE,
        )
    if move.state is MoveState.DONE:
        return move.version
    return move.previous_version


async def _async_wait(
    command: CommandContext, store: ObjectApiClient, wanted: VersionMove
) -> None:
    shown = ""
    while True:
        item = await _async_read(store, wanted.request_class)
        move = _parse(item) if item is not None else wanted
        line = f"{move.state}, share {move.share:.0%} {move.notice}".strip()
        if line != shown:
            command.print_progress(line)
        shown = line
        if not move.is_progressing:
            break
        if wall_clock_s() > wanted.by_time_s:
            raise typer.Exit(ExitCode.WAIT_EXPIRED)
        await sleep(POLL_INTERVAL_S)
    if move.state is not MoveState.DONE:
        command.print_progress(move.reason)
        raise typer.Exit(ExitCode.FAILURE)


@app.command("status")
def show_moves(context: typer.Context) -> None:
    """Show the moves with their evidence.

    Example: azurewick version status
    """
    command = get_context(context)
    run_command(lambda: _async_show_moves(command))


async def _async_show_moves(command: CommandContext) -> None:
    async with command.async_open_store() as store:
        listed = await store.async_list(PLURAL_VERSION_MOVES)
    command.print_rows(
        "Version moves", [_describe(_parse(item)) for item in listed.items]
    )


def _describe(move: VersionMove) -> Row:
    evidence: dict[str, Any] = dict(move.evidence)
    by_time = datetime.fromtimestamp(move.by_time_s).astimezone()
    return {
        "class": move.request_class,
        "version": move.version,
        "state": move.state.value,
        "share": move.share,
        "by": by_time.isoformat(timespec="seconds"),
        "evidence": ", ".join(f"{k} {v}" for k, v in evidence.items()),
        "reason": move.reason or move.notice,
        "id": move.id,
    }


@app.command("cancel")
def cancel_move(
    context: typer.Context,
    request_class: Annotated[str, typer.Argument(help="Name of the class.")],
) -> None:
    """Cancel the move of a class; its traffic returns.

    Example: azurewick version cancel quick-answer
    """
    command = get_context(context)
    run_command(lambda: _async_cancel(command, request_class))


async def _async_cancel(command: CommandContext, request_class: str) -> None:
    async with command.async_open_store() as store:
        item = await store.async_get(PLURAL_VERSION_MOVES, request_class)
        move = _parse(item)
        if move.state is MoveState.CANCELLED:
            command.print_message("cancelled already", id=move.id)
            return
        if not move.is_progressing:
            raise AzurewickError(
                ErrorCode.STORE_CONFLICT,
                f"move {move.id} has ended already: {move.state}",
                step=Step.CONFIGURE,
            )
        await store.async_update(
            replace(item, spec=item.spec | {"cancelled": True})
        )
    command.print_message(f"move {move.id} is cancelled", id=move.id)
