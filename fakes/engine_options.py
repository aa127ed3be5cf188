"""Options and faults of the model engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from fakes.batch import EngineRates


@dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """Faults of an engine.

    speed_factor below 1 makes a straggler. A prompt with crash_marker
    crashes the engine when it enters the batch. failing_share of the
    requests get a 500, and all requests whose model is failing_model. Above
    slow_above_batch running requests the speed is multiplied by
    slow_factor. only_version limits all faults to one loaded version.
    """

    speed_factor: float = 1.0
    crash_marker: str = ""
    failing_share: float = 0.0
    failing_model: str = ""
    slow_above_batch: int = 0
    slow_factor: float = 0.1
    unhealthy: bool = False
    only_version: str = ""


@dataclass(frozen=True, kw_only=True)
class EngineOptions:
    """Options of an engine; times in seconds before the speed factor."""

    version: str = "v1"
    rates: EngineRates = field(default_factory=EngineRates)
    cache_tokens: int = 100_000
    speed: float = 1.0
    load_lag_s: float = 0.0
    version_load_s: float = 1.0
    checks_fencing: bool = True
    exits_on_crash: bool = False
    seed: int = 0
