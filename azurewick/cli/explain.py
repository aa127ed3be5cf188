"""Command that explains from the logs what happened to a request."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import Any

import orjson
import typer

from azurewick.cli.const import ExitCode
from azurewick.errors import ErrorCode

OUTCOME_OK = "ok"
OUTCOME_BROKEN = "broken"
OUTCOME_CALLER_LEFT = "caller_left"

# Explanations of the outcomes in the request logs of entry instances.
OUTCOME_DESCRIPTIONS: dict[str, str] = {
    OUTCOME_OK: "the caller got the backend server's complete answer",
    OUTCOME_BROKEN: (
        "the answer was interrupted and the caller's connection was closed"
    ),
    OUTCOME_CALLER_LEFT: (
        "the caller closed its connection before the answer ended"
    ),
    ErrorCode.OVERLOADED: (
        "it has not run: no backend server would have been free in time"
    ),
    ErrorCode.RATE_LIMITED: "it has not run: its customer is above its quota",
    ErrorCode.UNKNOWN_KEY: (
        "it has not run: no customer of this configuration has its API key"
    ),
    ErrorCode.UNKNOWN_ROUTE: (
        "it has not run: no route of this configuration serves its path"
    ),
    ErrorCode.NOT_READY: (
        "it has not run: the instance had no configuration yet"
    ),
    ErrorCode.DRAINING: "it has not run: the instance was shutting down",
    ErrorCode.POISON_REQUEST: (
        "it has not run: requests with the same part or content have crashed"
        " their servers"
    ),
    ErrorCode.OUTCOME_UNKNOWN: (
        "it was dispatched and may have run: no answer came in time"
    ),
    ErrorCode.BACKEND_FAILED: (
        "it was dispatched and may have run: the answer was interrupted"
    ),
    ErrorCode.BACKEND_UNREACHABLE: (
        "it has not run: no connection to the backend server was possible"
    ),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """JSON fields of a log line, with its file and line number."""

    file: Path
    number: int
    fields: dict[str, Any]


def read_lines(file: Path) -> Iterator[LogLine | int]:
    """Yield the log lines of a file, and the numbers of damaged ones.

    A line is damaged when its JSON is not valid. Text before the JSON, such
    as a time or a host, is ignored, and so are lines without JSON.
    Raises OSError when the file can't be read.
    """
    with file.open("rb") as stream:
        for number, raw in enumerate(stream, 1):
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                fields = orjson.loads(raw[start:])
            except ValueError:
                yield number
                continue
            if isinstance(fields, dict):
                yield LogLine(file=file, number=number, fields=fields)


def find_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request, sorted by time."""
    found = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    return sorted(found, key=lambda line: str(line.fields.get("asctime", "")))


def describe_line(line: LogLine) -> str:
    """Return one line of text that explains a request's log line."""
    fields = line.fields
    outcome = str(fields.get("outcome", ""))
    description = OUTCOME_DESCRIPTIONS.get(
        outcome, f"it ended with {outcome or 'no outcome'}"
    )
    attempts = fields.get("attempts") or []
    dispatches = ", ".join(
        f"{attempt.get('server')} after {attempt.get('sent_s')} s"
        f" ({attempt.get('outcome')}{_describe_answer(attempt)})"
        for attempt in attempts
        if isinstance(attempt, dict)
    )
    parts = [
        f"{fields.get('asctime')} {line.file}:{line.number}",
        f"route {fields.get('route') or 'none'}",
        f"customer {fields.get('customer') or 'none'}",
        f"configuration {fields.get('configuration_version')}",
        f"dispatched to {dispatches}" if dispatches else "not dispatched",
    ]
    reason = fields.get("reason")
    suffix = f" [{reason}]" if reason else ""
    return f"{'; '.join(parts)}: {description}{suffix}"


def _describe_answer(attempt: dict[str, Any]) -> str:
    """Return how an attempt's answer ended, empty without an answer."""
    if not attempt.get("framing"):
        return ""
    return (
        f", answer framed by {attempt['framing']}"
        f" {attempt.get('ending') or 'unfinished'}:"
        f" {attempt.get('bytes_received')} bytes received,"
        f" {attempt.get('bytes_sent')} passed on"
    )


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[Path], typer.Argument(help="Log files of the entry instances.")
    ],
) -> None:
    """Explain from the logs of the instances what happened to a request.

    Example: azurewick explain 9c41d07be2a35f68 logs/edge-*.log
    """
    lines: list[LogLine] = []
    for file in files:
        try:
            for line in read_lines(file):
                if isinstance(line, int):
                    typer.echo(
                        f"{file}:{line}: damaged line, skipped", err=True
                    )
                else:
                    lines.append(line)
        except OSError as err:
            typer.echo(f"can't read {file}: {err.strerror}", err=True)
            raise typer.Exit(ExitCode.INVALID_INPUT) from err
    found = find_request(lines, request_id)
    if not found:
        typer.echo(
            f"no line about request {request_id} in {len(files)} files",
            err=True,
        )
        raise typer.Exit(ExitCode.NOT_FOUND)
    for line in found:
        typer.echo(describe_line(line))
