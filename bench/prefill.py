"""Benchmark of wasted prefill, relative to the needed prompt tokens."""

from __future__ import annotations

from typing import Final

from bench.model.figures import baseline_figures
from bench.model.figures import cached_run
from bench.model.figures import HELD_OUT_SEEDS
from bench.model.figures import HELD_OUT_SUFFIX
from bench.model.figures import seeds_from
from bench.model.figures import worst_figure
from bench.model.run import association_scenario
from bench.model.run import ficelle_scenario
from bench.model.run import ORACLE
from bench.model.run import RunResult
from bench.model.run import Scenario
from bench.models import BenchRow

# The needed tokens are those that a single cache with the memory of the whole
# pool would miss, so all prefill beyond them is avoidable.
MAX_WASTED_RATIO: Final = 0.05
MAX_SHARE_OF_BASELINE: Final = 0.5


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area prefill."""
    rows: list[BenchRow] = []
    for load in (0.7, 1.0, 1.5):
        for name, scenario in (
            ("association", association_scenario(load=load)),
            ("ficelle", ficelle_scenario(load=load)),
        ):
            rows += _rows(f"prefill.{name}.load_{load}", scenario, seed)
    return rows


def _rows(name: str, scenario: Scenario, seed: int) -> list[BenchRow]:
    figure = RunResult.wasted_prefill_ratio
    baseline = baseline_figures(scenario, seed, figure)
    bound = min(
        MAX_WASTED_RATIO, MAX_SHARE_OF_BASELINE * min(baseline.values())
    )
    oracle = figure(cached_run(scenario, ORACLE, seed))
    rows = []
    for row_name, seeds in (
        (name, seeds_from(seed)),
        (name + HELD_OUT_SUFFIX, HELD_OUT_SEEDS),
    ):
        value = worst_figure(scenario, seeds, figure, largest=True)
        rows.append(
            BenchRow(
                name=row_name,
                seed=seed,
                figure=value,
                unit="of needed",
                bound=bound,
                baseline=baseline if row_name == name else {},
                oracle=oracle if row_name == name else None,
                ok=value <= bound,
            )
        )
    return rows
