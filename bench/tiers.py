"""Benchmark of the tier rule and of fairness between customers of a tier.

The tier rule forbids dispatching a request of a lower tier shortly after one
of a higher tier was shed; see bench.model.trace.
"""

from __future__ import annotations

from bench.model.figures import cached_run
from bench.model.figures import HELD_OUT_SEEDS
from bench.model.figures import seeds_from
from bench.model.figures import worst_figure
from bench.model.run import association_scenario
from bench.model.run import AZUREWICK
from bench.model.run import ficelle_scenario
from bench.model.run import RunResult
from bench.model.run import Scenario
from bench.models import BenchRow


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area tiers."""
    scenarios: dict[str, Scenario] = {
        "association.load_1.5": association_scenario(load=1.5),
        "association.load_3": association_scenario(
            load=3.0, warm_s=20.0, measured_s=10.0
        ),
        "association.load_10": association_scenario(
            load=10.0, warm_s=8.0, measured_s=6.0, tail_s=1.0
        ),
        "association.burst": association_scenario(load=0.5, burst_s=4.0),
        "association.straggler_load_3": association_scenario(
            load=3.0, straggler=True, warm_s=8.0, measured_s=8.0, tail_s=1.0
        ),
        "association.crash_load_3": association_scenario(
            load=3.0, crash=True, warm_s=8.0, measured_s=8.0, tail_s=1.0
        ),
        "ficelle.load_3": ficelle_scenario(
            load=3.0, warm_s=20.0, measured_s=10.0
        ),
    }
    rows = [
        _violations_row(f"tiers.violations.{name}", scenario, seed)
        for name, scenario in scenarios.items()
    ]
    rows += _share_rows(scenarios["association.load_3"], seed)
    rows.append(_floor_message_row(scenarios["association.load_3"], seed))
    return rows


def _violations(result: RunResult) -> float:
    return result.violations


def _violations_row(name: str, scenario: Scenario, seed: int) -> BenchRow:
    seeds = seeds_from(seed) + HELD_OUT_SEEDS
    if scenario.load >= 10.0:
        seeds = seeds[:1]
    figure = worst_figure(scenario, seeds, _violations, largest=True)
    return BenchRow(
        name=name,
        seed=seed,
        figure=figure,
        unit="violations",
        bound=0.0,
        ok=figure <= 0.0,
    )


def _share_rows(scenario: Scenario, seed: int) -> list[BenchRow]:
    """Return the share of requests that met their target, by customer.

    The rows are those of the smallest and the largest customer in tier 1.
    """
    result = cached_run(scenario, AZUREWICK, seed)
    rows = []
    for name, customer in (("smallest", "c4"), ("largest", "c0")):
        jobs = [
            job
            for job in result.jobs
            if job.tier == 1 and job.customer == customer
        ]
        good = sum(job.is_good for job in jobs)
        rows.append(
            BenchRow(
                name=f"tiers.share.{name}_customer",
                seed=seed,
                figure=good / max(1, len(jobs)),
                unit="of offered",
            )
        )
    return rows


def _floor_message_row(scenario: Scenario, seed: int) -> BenchRow:
    result = cached_run(scenario, AZUREWICK, seed)
    return BenchRow(
        name="tiers.floor_messages",
        seed=seed,
        figure=result.floor_messages / scenario.gateways / scenario.end_s,
        unit="messages/s per gateway",
    )
