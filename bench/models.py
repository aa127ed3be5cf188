"""Rows of the benchmarks."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True, slots=True)
class BenchRow:
    """One figure with its bound.

    baseline has the figure of each baseline by its name. bound is None for
    a figure that is only shown, and oracle when there is none.
    """

    name: str
    seed: int
    figure: float
    unit: str
    bound: float | None = None
    baseline: dict[str, float] = field(default_factory=dict)
    oracle: float | None = None
    ok: bool = True
