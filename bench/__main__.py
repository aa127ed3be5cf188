"""Entry point of script/bench."""

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

# Areas in the order of the design record. An area whose module is missing
# is left out.
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
# Areas that depend on the machine's speed run only when they are named.
WALL_CLOCK_AREAS: Final = ("capacity",)
KNOWN_RED_FILE: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_PREFIX: Final = "bench: "


def read_known_red(path: Path = KNOWN_RED_FILE) -> frozenset[tuple[str, int]]:
    """Return name and seed of the rows that KNOWN-RED.txt lists."""
    if not path.exists():
        return frozenset()
    known = set()
    for line in path.read_text(encoding="utf-8").splitlines():
        words = line.removeprefix(KNOWN_RED_PREFIX).split()
        if not line.startswith(KNOWN_RED_PREFIX) or len(words) < 3:
            continue
        if words[1] == "seed" and words[2].isdigit():
            known.add((words[0], int(words[2])))
    return frozenset(known)


def find_area(name: str) -> Callable[[int], list[BenchRow]] | None:
    """Return the run function of an area, or None without its module."""
    if importlib.util.find_spec(f"bench.{name}") is None:
        return None
    run: Callable[[int], list[BenchRow]] = importlib.import_module(
        f"bench.{name}"
    ).run
    return run


def format_row(row: BenchRow, is_known_red: bool) -> str:
    """Return the printed line of a row."""
    verdict = "ok" if row.ok else "KNOWN RED" if is_known_red else "FAILED"
    line = f"{row.name:<46} seed {row.seed} {row.figure:10.4f} {row.unit}"
    if row.bound is not None:
        line += f"  bound {row.bound:.4f}"
    if row.oracle is not None:
        line += f"  oracle {row.oracle:.4f}"
    for name, value in row.baseline.items():
        line += f"  {name} {value:.4f}"
    return f"{line}  {verdict}"


def run_areas(names: list[str], seed: int) -> list[BenchRow]:
    """Run areas and print their rows."""
    known_red = read_known_red()
    rows: list[BenchRow] = []
    for name in names:
        run = find_area(name)
        if run is None:
            typer.echo(f"{name}: no such area yet")
            continue
        started_s = time.perf_counter()
        for row in run(seed):
            rows.append(row)
            is_known_red = (row.name, row.seed) in known_red
            typer.echo(format_row(row, is_known_red))
        typer.echo(f"{name}: {time.perf_counter() - started_s:.1f} s")
    return rows


def main(
    areas: Annotated[
        list[str] | None, typer.Argument(help="areas, all by default")
    ] = None,
    seed: Annotated[int, typer.Option(help="seed of the workloads")] = 1,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="file for the rows")
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
    known_red = read_known_red()
    broken = [
        row
        for row in rows
        if not row.ok and (row.name, row.seed) not in known_red
    ]
    typer.echo(f"{len(rows)} rows, {len(broken)} broken bounds")
    if broken:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
