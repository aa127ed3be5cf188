"""Data classes of the benchmarks."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class BenchRow:
    """One figure of a benchmark with its bound.

    bound comes from a stated target and never from a measured figure; None
    means that the figure is only reported. baseline has the figures of
    simple policies for comparison, and oracle that of a policy that knows
    everything about the workload.
    """

    name: str
    seed: int
    figure: float
    unit: str
    bound: float | None = None
    baseline: dict[str, float] = field(default_factory=dict)
    oracle: float | None = None
    ok: bool = True

    def as_dict(self) -> dict[str, Any]:
        """Return the row as a JSON object."""
        return {
            "name": self.name,
            "seed": self.seed,
            "figure": self.figure,
            "unit": self.unit,
            "bound": self.bound,
            "baseline": self.baseline,
            "oracle": self.oracle,
            "ok": self.ok,
        }
