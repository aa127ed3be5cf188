"""Benchmark of goodput under overload, bursts and faults.

Goodput counts the requests that meet the target of their class. Figures of
the top tier are shares of its offered requests, an upper bound that no
policy exceeds. Figures of all tiers together are shares of the goodput of
the oracle (bench.model.oracle), one queue that knows lengths and speeds; it
is no upper bound.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Final

from bench.model.figures import baseline_figures
from bench.model.figures import build_minimum_rows
from bench.model.figures import cached_run
from bench.model.figures import seeds_from
from bench.model.figures import top_tier_share
from bench.model.figures import worst_figure
from bench.model.figures import worst_share_of_oracle
from bench.model.run import association_scenario
from bench.model.run import AZUREWICK
from bench.model.run import ficelle_scenario
from bench.model.run import ORACLE
from bench.model.run import RunResult
from bench.model.run import Scenario
from bench.models import BenchRow

MIN_TOP_TIER_SHARE: Final = 0.99
MIN_TOTAL_SHARE: Final = 0.9
MIN_SHARE_UNDER_FAULT: Final = 0.98
TOP_UNIT: Final = "of offered"
TOTAL_UNIT: Final = "of oracle"
# Running a baseline on a larger pool takes too long for a default run.
MAX_BASELINE_REPLICAS: Final = 40
REPORT_AGES_S: Final = (0.0, 1.0, 5.0, 15.0)


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area goodput."""
    rows: list[BenchRow] = []
    for name, build in (
        ("association", association_scenario),
        ("ficelle", ficelle_scenario),
    ):
        for load in (0.7, 1.0, 1.5, 3.0):
            scenario = build(load=load)
            if load > 1.5:
                scenario = replace(scenario, warm_s=20.0, measured_s=10.0)
            rows += _load_rows(f"goodput.{name}", scenario, seed)
        burst = build(load=0.5, burst_s=4.0)
        rows += _top_rows(f"goodput.{name}.top.burst", burst, seed)
    rows += _tenfold_load_rows(seed)
    for replicas in (40, 120):
        pool = association_scenario(
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
    return build_minimum_rows(
        name,
        seed,
        TOP_UNIT,
        MIN_TOP_TIER_SHARE,
        partial(_worst_top_tier_share, scenario),
        baseline=baseline_figures(scenario, seed, top_tier_share),
        oracle=1.0,
    )


def _worst_top_tier_share(scenario: Scenario, seeds: tuple[int, ...]) -> float:
    return worst_figure(scenario, seeds, top_tier_share)


def _load_rows(name: str, scenario: Scenario, seed: int) -> list[BenchRow]:
    load = scenario.load
    rows = _top_rows(f"{name}.top.load_{load}", scenario, seed)
    if load != 1.5:
        return rows
    return rows + build_minimum_rows(
        f"{name}.total.load_{load}",
        seed,
        TOTAL_UNIT,
        MIN_TOTAL_SHARE,
        partial(worst_share_of_oracle, scenario),
        baseline=_baseline_totals(scenario, seed),
        oracle=1.0,
    )


def _baseline_totals(scenario: Scenario, seed: int) -> dict[str, float]:
    oracle_good = max(1, cached_run(scenario, ORACLE, seed).good_count())
    return baseline_figures(
        scenario, seed, lambda result: result.good_count() / oracle_good
    )


def _tenfold_load_rows(seed: int) -> list[BenchRow]:
    """Return goodput at ten times the capacity.

    Even the top tier alone exceeds the capacity, so there is no bound.
    """
    scenario = association_scenario(
        load=10.0, warm_s=8.0, measured_s=6.0, tail_s=1.0
    )
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
    figure = top_tier_share(cached_run(scenario, AZUREWICK, seed))
    baseline = {}
    if scenario.replicas <= MAX_BASELINE_REPLICAS:
        two_choices = cached_run(scenario, "two_choices", seed)
        baseline["two_choices"] = top_tier_share(two_choices)
    return [
        BenchRow(
            name=f"{name}.top.load_{scenario.load}",
            seed=seed,
            figure=figure,
            unit=TOP_UNIT,
            bound=MIN_TOP_TIER_SHARE,
            baseline=baseline,
            oracle=1.0,
            ok=figure >= MIN_TOP_TIER_SHARE,
        )
    ]


def _fault_rows(seed: int) -> list[BenchRow]:
    """Return top-tier goodput with a fault relative to that without it.

    Requests that were on the faulty server when the fault began, and missed
    their target, count as good: the fault explains their loss. All others
    should be good, since the other servers have room for the whole top tier.
    """
    common = {"load": 1.0}
    base = association_scenario(**common)
    faults: dict[str, Scenario] = {
        "straggler": association_scenario(straggler=True, **common),
        "crash": association_scenario(crash=True, **common),
    }
    for age_s in REPORT_AGES_S:
        faults[f"reports_{age_s:g}s"] = association_scenario(
            report_age_s=age_s, **common
        )
    faults["straggler_reports_15s"] = association_scenario(
        straggler=True, report_age_s=15.0, **common
    )
    rows: list[BenchRow] = []
    for name, scenario in faults.items():
        rows += build_minimum_rows(
            f"goodput.association.fault.{name}",
            seed,
            "of no fault",
            MIN_SHARE_UNDER_FAULT,
            partial(_worst_share_under_fault, base, scenario),
            baseline=_baseline_shares_under_fault(base, scenario, seed),
            held_out=scenario.straggler or scenario.crash,
        )
    return rows


def _worst_share_under_fault(
    base: Scenario, scenario: Scenario, seeds: tuple[int, ...]
) -> float:
    return min(
        _share_under_fault(base, scenario, AZUREWICK, seed) for seed in seeds
    )


def _share_under_fault(
    base: Scenario, scenario: Scenario, policy: str, seed: int
) -> float:
    faulty = cached_run(scenario, policy, seed)
    fault_free = top_tier_share(cached_run(base, policy, seed))
    if fault_free <= 0.0:
        return 0.0
    return (top_tier_share(faulty) + faulty.affected_share(0)) / fault_free


def _baseline_shares_under_fault(
    base: Scenario, scenario: Scenario, seed: int
) -> dict[str, float]:
    # One seed is enough for the baseline, which has no bound.
    first = seeds_from(seed)[0]
    return {
        "two_choices": _share_under_fault(base, scenario, "two_choices", first)
    }
