"""Command line of the benchmarks, which script/bench starts."""

from __future__ import annotations

from collections.abc import Callable
import importlib
import importlib.util
import json
from pathlib import Path
import time
from typing import Annotated
from typing import Final

import typer

from bench.models import BenchRow

# Default areas, in the order of the design record. An area is skipped when its
# module, bench.AREA, does not exist.
AREAS: Final = (
    "goodput",
    "prefill",
    "tiers",
    "claims",
    "poison",
    "config",
    "moves",
    "store",
)
# Their figures depend on the speed of the machine, so they run only when they
# are named on the command line.
WALL_CLOCK_AREAS: Final = ("capacity",)
KNOWN_FAILURES_FILE: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_FAILURES_PREFIX: Final = "bench: "


def read_known_failures(
    path: Path = KNOWN_FAILURES_FILE,
) -> frozenset[tuple[str, int]]:
    """Return name and seed of the rows listed as known failures.

    KNOWN-RED.txt lists a row as "bench: NAME seed SEED"; other lines are
    ignored.
    """
    if not path.exists():
        return frozenset()
    known = set()
    for line in path.read_text(encoding="utf-8").splitlines():
        words = line.removeprefix(KNOWN_FAILURES_PREFIX).split()
        if not line.startswith(KNOWN_FAILURES_PREFIX) or len(words) < 3:
            continue
        if words[1] == "seed" and words[2].isdigit():
            known.add((words[0], int(words[2])))
    return frozenset(known)


def find_area(name: str) -> Callable[[int], list[BenchRow]] | None:
    """Return the run function of an area, or None if it has no module."""
    if importlib.util.find_spec(f"bench.{name}") is None:
        return None
    run: Callable[[int], list[BenchRow]] = importlib.import_module(
        f"bench.{name}"
    ).run
    return run


def format_row(row: BenchRow, is_known_failure: bool) -> str:
    """Return the line that is printed for a row."""
    verdict = "ok" if row.ok else "KNOWN RED" if is_known_failure else "FAILED"
    line = f"{row.name:<46} seed {row.seed} {row.figure:10.4f} {row.unit}"
    if row.bound is not None:
        line += f"  bound {row.bound:.4f}"
    if row.oracle is not None:
        line += f"  oracle {row.oracle:.4f}"
    for name, value in row.baseline.items():
        line += f"  {name} {value:.4f}"
    return f"{line}  {verdict}"


def run_areas(names: list[str], seed: int) -> list[BenchRow]:
    """Run the areas and print each row and the time that each area took."""
    known_failures = read_known_failures()
    rows: list[BenchRow] = []
    for name in names:
        run = find_area(name)
        if run is None:
            typer.echo(f"{name}: skipped, there is no module bench.{name}")
            continue
        started_s = time.perf_counter()
        for row in run(seed):
            rows.append(row)
            is_known_failure = (row.name, row.seed) in known_failures
            typer.echo(format_row(row, is_known_failure))
        typer.echo(f"{name}: {time.perf_counter() - started_s:.1f} s")
    return rows


def main(
    areas: Annotated[
        list[str] | None,
        typer.Argument(help="areas; by default all but capacity"),
    ] = None,
    seed: Annotated[
        int, typer.Option(help="seed of the random workloads")
    ] = 1,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="file to write the rows to")
    ] = None,
) -> None:
    """Run the benchmark areas named on the command line."""
    for name in areas or ():
        if name not in AREAS + WALL_CLOCK_AREAS:
            typer.echo(f"unknown area {name}", err=True)
            raise typer.Exit(2)
    rows = run_areas(list(areas or AREAS), seed)
    if json_file is not None:
        text = json.dumps([row.as_dict() for row in rows], indent=2)
        json_file.write_text(text + "\n", encoding="utf-8")
    known_failures = read_known_failures()
    failed_rows = [
        row
        for row in rows
        if not row.ok and (row.name, row.seed) not in known_failures
    ]
    typer.echo(f"{len(rows)} rows, {len(failed_rows)} unexpected failures")
    if failed_rows:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
