"""Options and faults of the model engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from fakes.batch import EngineRates


@dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """Faults injected into an engine.

    speed_factor multiplies the speed; below 1 the engine is a straggler.
    A prompt that contains crash_marker crashes the engine when it enters
    the batch. A share of failing_share (0 to 1) of all requests and every
    request for failing_model get a 500. With more than slow_above_batch
    running requests (0 means no limit) the speed is also multiplied by
    slow_factor. unhealthy makes the health check answer 503. With
    only_version set, the faults other than unhealthy apply only while that
    version is loaded.
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
    """Options of an engine.

    speed multiplies all rates and divides version_load_s. /load reports the
    load as it was load_lag_s earlier. With checks_fencing the engine refuses
    orders whose fencing number is lower than one it has seen. A crash ends
    the process with exits_on_crash, and otherwise closes the listener.
    """

    version: str = "v1"
    rates: EngineRates = field(default_factory=EngineRates)
    cache_tokens: int = 100_000
    speed: float = 1.0
    load_lag_s: float = 0.0
    version_load_s: float = 1.0
    checks_fencing: bool = True
    exits_on_crash: bool = False
    seed: int = 0
