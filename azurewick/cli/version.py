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
    """Return the epoch seconds given as an ISO 8601 time or a number.

    Raises AzurewickError with code invalid_request.
    """
    try:
        return _parse_datetime(text).astimezone().timestamp()
    except (ValueError, OverflowError, OSError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"--by {text!r} is not a time; use for example"
            " 2026-12-04T18:30:00+00:00, or seconds since the epoch",
            step=Step.CONFIGURE,
        ) from err


def _parse_datetime(text: str) -> datetime:
    try:
        seconds = float(text)
    except ValueError:
        return datetime.fromisoformat(text)
    # Raises for numbers that are not a valid time, such as nan and 1e30.
    return datetime.fromtimestamp(seconds)


@app.command("move")
def move_version(
    context: typer.Context,
    request_class: Annotated[str, typer.Argument(help="Name of the class.")],
    version: Annotated[str, typer.Argument(help="Version to move to.")],
    by: Annotated[
        str,
        typer.Option(
            "--by",
            help="Deadline of the move, as ISO 8601 time or epoch seconds.",
        ),
    ],
    wait: Annotated[
        bool, typer.Option(help="Wait until the move has ended.")
    ] = False,
) -> None:
    """Move the traffic of a class to a version.

    Example: azurewick version move quick-answer v2 --by 2026-12-04T18:30
    """
    command = get_context(context)
    run_command(
        lambda: _async_move_version(command, request_class, version, by, wait)
    )


async def _async_move_version(
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
    # Validate before the write: a stored move that can't be parsed would
    # break 'version status'.
    parse_move({"spec": move.as_spec()})
    async with command.async_open_store() as store:
        configured = await _async_read_configured_version(store, request_class)
        move = replace(move, previous_version=configured)
        await _async_write_move(store, move)
        command.print_message(
            f"move {move.id} of {request_class} to {version} is accepted",
            id=move.id,
        )
        if wait:
            await _async_wait_for_move(command, store, move)


async def _async_read_configured_version(
    store: ObjectApiClient, request_class: str
) -> str:
    """Return the version of a class in the configuration, empty if none.

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
    """Write a move to the store.

    When it is unknown whether the write took effect, the move is read back
    and its id is compared.
    """
    current = await _async_read_move(store, move.request_class)
    try:
        if current is None:
            await store.async_create(
                PLURAL_VERSION_MOVES, move.request_class, move.as_spec()
            )
            return
        previous = _find_serving_version(current) or move.previous_version
        move = replace(move, previous_version=previous)
        await store.async_update(replace(current, spec=move.as_spec()))
    except AzurewickError as err:
        if err.outcome is not Outcome.UNKNOWN:
            raise
        written = await _async_read_move(store, move.request_class)
        if written is None or written.spec.get("id") != move.id:
            raise


async def _async_read_move(
    store: ObjectApiClient, request_class: str
) -> StoredObject | None:
    try:
        return await store.async_get(PLURAL_VERSION_MOVES, request_class)
    except AzurewickError as err:
        if err.code is ErrorCode.STORE_NOT_FOUND:
            return None
        raise


def _parse_stored_move(item: StoredObject) -> VersionMove:
    return parse_move({"spec": item.spec, "status": item.status})


def _find_serving_version(item: StoredObject) -> str:
    """Return the version that serves a class now.

    Raises AzurewickError with code store_conflict while a move is in progress.
    """
    move = _parse_stored_move(item)
    if move.is_progressing:
        raise AzurewickError(
            ErrorCode.STORE_CONFLICT,
            f"move {move.id} of {move.request_class} to {move.version}"
            " is in progress; cancel it first",
            step=Step.CONFIGURE,
        )
    if move.state is MoveState.DONE:
        return move.version
    return move.previous_version


async def _async_wait_for_move(
    command: CommandContext, store: ObjectApiClient, requested: VersionMove
) -> None:
    """Print the progress of a move until it has ended.

    Exits with FAILURE when it ended without success and with WAIT_EXPIRED
    when its deadline has passed.
    """
    last_line = ""
    while True:
        item = await _async_read_move(store, requested.request_class)
        move = _parse_stored_move(item) if item is not None else requested
        line = f"{move.state}, share {move.share:.0%} {move.notice}".strip()
        if line != last_line:
            command.print_progress(line)
        last_line = line
        if not move.is_progressing:
            break
        if wall_clock_s() > requested.by_time_s:
            raise typer.Exit(ExitCode.WAIT_EXPIRED)
        await sleep(POLL_INTERVAL_S)
    if move.state is not MoveState.DONE:
        command.print_progress(move.reason)
        raise typer.Exit(ExitCode.FAILURE)


@app.command("status")
def show_moves(context: typer.Context) -> None:
    """Show the version moves and the request counts that they rest on.

    Example: azurewick version status
    """
    command = get_context(context)
    run_command(lambda: _async_show_moves(command))


async def _async_show_moves(command: CommandContext) -> None:
    async with command.async_open_store() as store:
        listed = await store.async_list(PLURAL_VERSION_MOVES)
    command.print_rows(
        "Version moves",
        [_describe_move(_parse_stored_move(item)) for item in listed.items],
    )


def _describe_move(move: VersionMove) -> Row:
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
    """Cancel the move of a class; its traffic returns to the old version.

    Example: azurewick version cancel quick-answer
    """
    command = get_context(context)
    run_command(lambda: _async_cancel_move(command, request_class))


async def _async_cancel_move(
    command: CommandContext, request_class: str
) -> None:
    async with command.async_open_store() as store:
        item = await store.async_get(PLURAL_VERSION_MOVES, request_class)
        move = _parse_stored_move(item)
        if move.state is MoveState.CANCELLED:
            command.print_message(
                f"move {move.id} is already cancelled", id=move.id
            )
            return
        if not move.is_progressing:
            raise AzurewickError(
                ErrorCode.STORE_CONFLICT,
                f"move {move.id} has already ended: {move.state}",
                step=Step.CONFIGURE,
            )
        await store.async_update(
            replace(item, spec=item.spec | {"cancelled": True})
        )
    command.print_message(f"move {move.id} is cancelled", id=move.id)
