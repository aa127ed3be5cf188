"""Command line of the soak."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
import json
import logging
from pathlib import Path
from random import Random
from random import SystemRandom
from signal import default_int_handler
from signal import signal
from signal import SIGTERM
from tempfile import mkdtemp
from time import monotonic
from typing import Annotated

import typer

from soak.callers import Caller
from soak.checks import find_violations
from soak.const import RECOVERY_S
from soak.faults import FaultSeries
from soak.fleet import Fleet
from soak.records import History

CALLERS_PER_INSTANCE = 6
# Calls that show the recovery.
CALM_S = 2.0

# Seeds that have failed, each with the cause that was found.
REGRESSIONS_FILE = Path(__file__).with_name("regressions.json")

app = typer.Typer(add_completion=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Play:
    """One run of the soak; seconds is the time with faults."""

    seed: int
    seconds: float
    instances: int


def read_regressions() -> list[Play]:
    """Return the runs that have failed before."""
    items = json.loads(REGRESSIONS_FILE.read_text(encoding="utf-8"))
    return [
        Play(
            seed=item["seed"],
            seconds=item["seconds"],
            instances=item["instances"],
        )
        for item in items
    ]


async def async_play(play: Play, folder: Path) -> tuple[History, list[str]]:
    """Play one run; return what was seen and the broken promises."""
    random = Random(play.seed)
    history = History()
    fleet = Fleet(folder, play.instances, random.getrandbits(32), history)
    callers: list[asyncio.Task[None]] = []
    try:
        await fleet.async_start()
        callers = [
            asyncio.create_task(
                Caller(
                    Random(random.getrandbits(32)),
                    fleet.choose,
                    history.calls.append,
                ).async_run()
            )
            for _ in range(CALLERS_PER_INSTANCE * play.instances)
        ]
        faults = FaultSeries(fleet, random.getrandbits(32))
        await faults.async_run(play.seconds)
        recovered_s = monotonic() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S + CALM_S)
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await fleet.async_stop()
    failures = [
        repr(task.exception())
        for task in callers
        if not task.cancelled() and task.exception() is not None
    ]
    return history, [*failures, *find_violations(history, recovered_s)]


@app.command()
def run(
    seed: Annotated[
        int | None, typer.Option(help="First seed; drawn when left out.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Time with faults, in seconds.")
    ] = 20.0,
    instances: Annotated[
        int, typer.Option(help="Number of entry instances.")
    ] = 3,
    regressions: Annotated[
        bool,
        typer.Option("--regressions", help="Play the seeds that failed."),
    ] = False,
    verbose: Annotated[
        bool, typer.Option("--verbose", help="Name each fault.")
    ] = False,
) -> None:
    """Disturb real entry instances and check their promises."""
    # A run that is stopped ends its processes, too.
    signal(SIGTERM, default_int_handler)
    logging.basicConfig(level="INFO" if verbose else "ERROR")
    first = SystemRandom().randrange(10**6) if seed is None else seed
    plays = (
        read_regressions()
        if regressions
        else [
            Play(seed=number, seconds=seconds, instances=instances)
            for number in range(first, first + runs)
        ]
    )
    failed = sum(not _play_and_print(play) for play in plays)
    typer.echo(f"{len(plays) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


def _play_and_print(play: Play) -> bool:
    """Play one run and print what it found; return whether it passed."""
    folder = Path(mkdtemp(prefix=f"azurewick-soak-{play.seed}-"))
    history, violations = asyncio.run(async_play(play, folder))
    ends = Counter(
        f"{call.end} {call.status}".removesuffix(" 0")
        for call in history.calls
    )
    typer.echo(
        f"seed {play.seed}: {len(history.calls)} calls, "
        f"{len(history.disturbances)} disturbances, "
        f"{len(violations)} violations; {dict(ends.most_common())}; "
        f"logs in {folder}"
    )
    for line in violations:
        typer.echo(f"  {line}")
    return not violations


if __name__ == "__main__":
    app()
