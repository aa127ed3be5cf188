"""Goodput under overload, bursts and faults.

The oracle of the top tier is the number of requests offered, an upper bound
that no policy exceeds. The oracle of the total is a run of the model with
one queue that knows lengths and speeds; it is no upper bound.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Final

from bench.model.figures import baseline_figures
from bench.model.figures import cached_run
from bench.model.figures import rows_at_least
from bench.model.figures import seeds_from
from bench.model.figures import top_part
from bench.model.figures import worst
from bench.model.figures import worst_of_oracle
from bench.model.run import association
from bench.model.run import AZUREWICK
from bench.model.run import ficelle
from bench.model.run import ORACLE
from bench.model.run import RunResult
from bench.model.run import Scenario
from bench.models import BenchRow

TOP_BOUND: Final = 0.99
TOTAL_BOUND: Final = 0.9
FAULT_BOUND: Final = 0.98
TOP_UNIT: Final = "of offered"
TOTAL_UNIT: Final = "of oracle"
# The baseline of a larger pool takes too long for a default run.
BASELINE_REPLICAS: Final = 40
REPORT_AGES_S: Final = (0.0, 1.0, 5.0, 15.0)


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area."""
    rows: list[BenchRow] = []
    for name, build in (("association", association), ("ficelle", ficelle)):
        for load in (0.7, 1.0, 1.5, 3.0):
            scenario = build(load=load)
            if load > 1.5:
                scenario = replace(scenario, warm_s=20.0, measured_s=10.0)
            rows += _load_rows(f"goodput.{name}", scenario, seed)
        burst = build(load=0.5, burst_s=4.0)
        rows += _top_rows(f"goodput.{name}.top.burst", burst, seed)
    rows += _extreme_rows(seed)
    for replicas in (40, 120):
        pool = association(
            replicas=replicas,
            gateways=8,
            load=1.5,
            warm_s=5.0,
            measured_s=3.0,
            tail_s=1.0,
        )
        rows += _pool_rows(f"goodput.pool{replicas}", pool, seed)
    rows += _fault_rows(seed)
    return rows


def _top_rows(name: str, scenario: Scenario, seed: int) -> list[BenchRow]:
    return rows_at_least(
        name,
        seed,
        TOP_UNIT,
        TOP_BOUND,
        partial(_worst_top, scenario),
        baseline=baseline_figures(scenario, seed, top_part),
        oracle=1.0,
    )


def _worst_top(scenario: Scenario, seeds: tuple[int, ...]) -> float:
    return worst(scenario, seeds, top_part)


def _load_rows(name: str, scenario: Scenario, seed: int) -> list[BenchRow]:
    load = scenario.load
    rows = _top_rows(f"{name}.top.load_{load}", scenario, seed)
    if load != 1.5:
        return rows
    return rows + rows_at_least(
        f"{name}.total.load_{load}",
        seed,
        TOTAL_UNIT,
        TOTAL_BOUND,
        partial(worst_of_oracle, scenario),
        baseline=_baseline_totals(scenario, seed),
        oracle=1.0,
    )


def _baseline_totals(scenario: Scenario, seed: int) -> dict[str, float]:
    best = max(1, cached_run(scenario, ORACLE, seed).good())
    return baseline_figures(
        scenario, seed, lambda result: result.good() / best
    )


def _extreme_rows(seed: int) -> list[BenchRow]:
    """Return goodput at ten times the capacity, where no tier fits."""
    scenario = association(load=10.0, warm_s=8.0, measured_s=6.0, tail_s=1.0)
    result = cached_run(scenario, AZUREWICK, seed)
    return [
        BenchRow(
            name="goodput.association.total.load_10",
            seed=seed,
            figure=result.goodput_per_s(),
            unit="requests/s",
            baseline=baseline_figures(scenario, seed, RunResult.goodput_per_s),
        )
    ]


def _pool_rows(name: str, scenario: Scenario, seed: int) -> list[BenchRow]:
    figure = top_part(cached_run(scenario, AZUREWICK, seed))
    baseline = {}
    if scenario.replicas <= BASELINE_REPLICAS:
        two = cached_run(scenario, "two_choices", seed)
        baseline["two_choices"] = top_part(two)
    return [
        BenchRow(
            name=f"{name}.top.load_{scenario.load}",
            seed=seed,
            figure=figure,
            unit=TOP_UNIT,
            bound=TOP_BOUND,
            baseline=baseline,
            oracle=1.0,
            ok=figure >= TOP_BOUND,
        )
    ]


def _fault_rows(seed: int) -> list[BenchRow]:
    """Return top-tier goodput with a fault against that without it.

    Requests that the fault hit on the server, and that then missed their
    target, are what the lost capacity explains: the other servers have
    room for the whole top tier.
    """
    common = {"load": 1.0}
    base = association(**common)
    faults: dict[str, Scenario] = {
        "straggler": association(straggler=True, **common),
        "crash": association(crash=True, **common),
    }
    for age_s in REPORT_AGES_S:
        faults[f"reports_{age_s:g}s"] = association(
            report_age_s=age_s, **common
        )
    faults["straggler_reports_15s"] = association(
        straggler=True, report_age_s=15.0, **common
    )
    rows: list[BenchRow] = []
    for name, scenario in faults.items():
        rows += rows_at_least(
            f"goodput.association.fault.{name}",
            seed,
            "of no fault",
            FAULT_BOUND,
            partial(_worst_fault, base, scenario),
            baseline=_baseline_faults(base, scenario, seed),
            held_out=scenario.straggler or scenario.crash,
        )
    return rows


def _worst_fault(
    base: Scenario, scenario: Scenario, seeds: tuple[int, ...]
) -> float:
    return min(_fault_part(base, scenario, AZUREWICK, seed) for seed in seeds)


def _fault_part(
    base: Scenario, scenario: Scenario, policy: str, seed: int
) -> float:
    faulty = cached_run(scenario, policy, seed)
    without = top_part(cached_run(base, policy, seed))
    if without <= 0.0:
        return 0.0
    return (top_part(faulty) + faulty.affected_part(0)) / without


def _baseline_faults(
    base: Scenario, scenario: Scenario, seed: int
) -> dict[str, float]:
    # The first seed is enough to compare with.
    first = seeds_from(seed)[0]
    return {"two_choices": _fault_part(base, scenario, "two_choices", first)}
