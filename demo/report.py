"""Figures and invariant checks of the demonstration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from rich.console import Console
from rich.table import Table

from azurewick.errors import Outcome
from azurewick.errors import SHED_CODES
from demo.load import Callers
from demo.load import RequestRecord
from demo.load import TIERS


@dataclass(kw_only=True)
class DemoFigures:
    """Figures that the demonstration measured.

    false_not_run counts deposits that ran although every attempt was refused
    with outcome not_run; engine_false_not_run is the same for requests to
    the engines. answers_without_run counts confirmed deposits that did not
    run. tiers has a row of count_tiers for each tier, refusals the attempts
    by error code and violations the broken invariants with their number.
    """

    tiers: list[dict[str, Any]] = field(default_factory=list)
    prefill_computed_tokens: int = 0
    prefill_cached_tokens: int = 0
    prefill_needed_tokens: int = 0
    deposits_sent: int = 0
    deposits_confirmed: int = 0
    deposit_runs: int = 0
    deposits_run_twice: int = 0
    false_not_run: int = 0
    answers_without_run: int = 0
    engine_runs_twice: int = 0
    engine_false_not_run: int = 0
    versions_completed: list[str] = field(default_factory=list)
    versions_rolled_back: list[str] = field(default_factory=list)
    is_good_version_rejected: bool = False
    bad_version_share: float = 0.0
    refusals: dict[str, int] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)
    duration_s: float = 0.0


def count_tiers(records: Iterable[RequestRecord]) -> list[dict[str, Any]]:
    """Return a row for each tier.

    It counts attempts, complete ("whole") answers, those within the target
    ("good") and shed attempts.
    """
    rows: dict[int, Counter[str]] = {}
    for record in records:
        counts = rows.setdefault(TIERS[record.request_class], Counter())
        counts["attempts"] += 1
        counts["whole"] += record.is_complete
        counts["good"] += record.is_good
        counts["shed"] += record.code in SHED_CODES
    return [{"tier": tier, **dict(rows[tier])} for tier in sorted(rows)]


def check_deposits(
    figures: DemoFigures,
    records: Iterable[RequestRecord],
    runs_by_key: dict[str, int],
) -> None:
    """Compare the answers to deposits with the runs at the services.

    Sets the figures of deposits; runs_by_key has the runs by claim key.
    """
    by_key: dict[str, list[RequestRecord]] = {}
    for record in records:
        if record.claim_key:
            by_key.setdefault(record.claim_key, []).append(record)
    for key, attempts in by_key.items():
        runs = runs_by_key.get(key, 0)
        confirmed = any(record.is_complete for record in attempts)
        figures.deposits_confirmed += confirmed
        figures.deposits_run_twice += runs > 1
        figures.answers_without_run += confirmed and runs == 0
        all_refused = all(
            record.outcome == Outcome.NOT_RUN for record in attempts
        )
        figures.false_not_run += all_refused and runs > 0
    figures.deposits_sent = len(by_key)
    figures.deposit_runs = sum(runs_by_key.values())


def check_engine_runs(
    figures: DemoFigures,
    records: Iterable[RequestRecord],
    counters: Iterable[dict[str, Any]],
) -> None:
    """Compare the engines' runs by request id with the answers of callers.

    Sets the engine figures; counters has those of each engine.
    """
    runs: Counter[str] = Counter()
    for engine in counters:
        runs.update(engine["runs"])
    figures.engine_runs_twice = sum(count > 1 for count in runs.values())
    figures.engine_false_not_run = sum(
        record.outcome == Outcome.NOT_RUN and record.request_id in runs
        for record in records
    )


def collect_violations(figures: DemoFigures, callers: Callers) -> None:
    """Set the violations, with their number of cases, and the refusals."""
    found = Counter(callers.violations)
    found["deposit run twice"] += figures.deposits_run_twice
    found["refusal not_run of a deposit that ran"] += figures.false_not_run
    found["answer to a deposit that did not run"] += (
        figures.answers_without_run
    )
    found["request dispatched twice"] += figures.engine_runs_twice
    found["refusal not_run of a request that ran"] += (
        figures.engine_false_not_run
    )
    found["bad version got more than its share"] += (
        figures.bad_version_share > 0.05
    )
    # A good version whose move is still in progress when the time is up
    # breaks no invariant: it can happen on a slow machine.
    found["good version rolled back"] += figures.is_good_version_rejected
    found["bad version not rolled back"] += not figures.versions_rolled_back
    figures.violations = {k: v for k, v in found.items() if v}
    figures.refusals = dict(Counter(r.code for r in callers.records if r.code))


def print_figures(console: Console, figures: DemoFigures) -> None:
    """Print the goodput by tier and a table of the other figures."""
    table = Table(title="Goodput by tier")
    for name in ("tier", "attempts", "whole", "good", "shed"):
        table.add_column(name, justify="right")
    for row in figures.tiers:
        table.add_row(
            *(
                str(row.get(name, 0))
                for name in ("tier", "attempts", "whole", "good", "shed")
            )
        )
    console.print(table)
    table = Table(title="Other measures")
    table.add_column("measure")
    table.add_column("figure", justify="right")
    prompt = figures.prefill_computed_tokens + figures.prefill_cached_tokens
    excess = figures.prefill_computed_tokens - figures.prefill_needed_tokens
    wasted = excess / max(1, prompt)
    rows = (
        ("prompt tokens", prompt),
        ("computed in prefill", figures.prefill_computed_tokens),
        ("needed at the least", figures.prefill_needed_tokens),
        ("wasted prefill", f"{wasted:.1%} of the prompt tokens"),
        ("deposits sent", figures.deposits_sent),
        ("deposits confirmed", figures.deposits_confirmed),
        ("deposit runs", figures.deposit_runs),
        ("deposits run twice", figures.deposits_run_twice),
        ("versions completed", ", ".join(figures.versions_completed)),
        ("versions rolled back", ", ".join(figures.versions_rolled_back)),
        ("bad version's share", f"{figures.bad_version_share:.2%}"),
        ("refusals", _format_counts(figures.refusals)),
        ("broken invariants", _format_counts(figures.violations)),
        ("duration", f"{figures.duration_s:.0f} s"),
    )
    for name, value in rows:
        table.add_row(name, str(value) or "none")
    console.print(table)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{k}: {v}" for k, v in sorted(counts.items()))
