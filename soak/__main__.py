"""Command line of the soak test."""

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
from soak.stalls import async_record_stalls
from soak.stalls import KIND_STALL

CALLERS_PER_INSTANCE = 6
# Time after RECOVERY_S during which calls are counted for the recovery check.
RECOVERY_CHECK_S = 2.0

# Runs that failed once, each with the cause of the failure.
REGRESSIONS_FILE = Path(__file__).with_name("regressions.json")

app = typer.Typer(add_completion=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakRun:
    """Parameters of one run of the soak test.

    seconds is the length of the first phase, with faults of all kinds.
    """

    seed: int
    seconds: float
    instances: int


def read_regressions() -> list[SoakRun]:
    """Return the runs listed in REGRESSIONS_FILE."""
    items = json.loads(REGRESSIONS_FILE.read_text(encoding="utf-8"))
    return [
        SoakRun(
            seed=item["seed"],
            seconds=item["seconds"],
            instances=item["instances"],
        )
        for item in items
    ]


async def async_run_soak(
    soak_run: SoakRun, folder: Path
) -> tuple[History, list[str]]:
    """Run the soak test once, with settings and logs in a folder.

    Returns the recorded history and a line for each failed caller and each
    violated guarantee.
    """
    random = Random(soak_run.seed)
    history = History()
    fleet = Fleet(folder, soak_run.instances, random.getrandbits(32), history)
    callers: list[asyncio.Task[None]] = []
    stall_record = asyncio.create_task(async_record_stalls(history))
    try:
        await fleet.async_start()
        callers = [
            asyncio.create_task(
                Caller(
                    Random(random.getrandbits(32)),
                    fleet.choose_target,
                    history.calls.append,
                ).async_run()
            )
            for _ in range(CALLERS_PER_INSTANCE * soak_run.instances)
        ]
        faults = FaultSeries(fleet, random.getrandbits(32))
        await faults.async_run(soak_run.seconds)
        recovered_s = monotonic() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S + RECOVERY_CHECK_S)
    finally:
        for task in (stall_record, *callers):
            task.cancel()
        await asyncio.gather(stall_record, *callers, return_exceptions=True)
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
        int | None, typer.Option(help="First seed; random if omitted.")
    ] = None,
    runs: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Time with faults of all kinds, in seconds.")
    ] = 20.0,
    instances: Annotated[
        int, typer.Option(help="Number of entry instances.")
    ] = 3,
    regressions: Annotated[
        bool,
        typer.Option("--regressions", help="Repeat runs that failed before."),
    ] = False,
    verbose: Annotated[
        bool, typer.Option("--verbose", help="Log each injected fault.")
    ] = False,
) -> None:
    """Inject faults around entry instances and check their guarantees."""
    # SIGTERM raises KeyboardInterrupt, so that an interrupted run stops the
    # processes it has started.
    signal(SIGTERM, default_int_handler)
    logging.basicConfig(level="INFO" if verbose else "ERROR")
    first_seed = SystemRandom().randrange(10**6) if seed is None else seed
    soak_runs = (
        read_regressions()
        if regressions
        else [
            SoakRun(seed=run_seed, seconds=seconds, instances=instances)
            for run_seed in range(first_seed, first_seed + runs)
        ]
    )
    failed = sum(not _run_and_report(soak_run) for soak_run in soak_runs)
    typer.echo(f"{len(soak_runs) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


def _run_and_report(soak_run: SoakRun) -> bool:
    """Run the soak test once and print the result.

    Returns whether no violation was found.
    """
    folder = Path(mkdtemp(prefix=f"azurewick-soak-{soak_run.seed}-"))
    history, violations = asyncio.run(async_run_soak(soak_run, folder))
    ends = Counter(
        f"{call.end} {call.status}".removesuffix(" 0")
        for call in history.calls
    )
    long_stalls = sum(
        disturbance.kind == KIND_STALL for disturbance in history.disturbances
    )
    typer.echo(
        f"seed {soak_run.seed}: {len(history.calls)} calls, "
        f"{len(history.disturbances)} disturbances"
        f" ({long_stalls} of them stalls of the soak), "
        f"{len(violations)} violations; {dict(ends.most_common())}; "
        f"logs in {folder}"
    )
    for line in violations:
        typer.echo(f"  {line}")
    if violations:
        # A request may have been held up by the soak itself.
        for stall in history.stalls:
            typer.echo(
                "  the soak's event loop stalled from "
                f"{stall.started_s:.3f} to {stall.ended_s:.3f}"
            )
    return not violations


if __name__ == "__main__":
    app()
