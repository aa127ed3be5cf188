"""Row of the benchmark output."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True, slots=True)
class BenchRow:
    """One figure with its bound, its baselines and the oracle's figure.

    ok says whether the figure keeps the bound.
    """

    name: str
    seed: int
    figure: float
    unit: str
    bound: float | None = None
    baseline: dict[str, float] = field(default_factory=dict)
    oracle: float | None = None
    ok: bool = True
