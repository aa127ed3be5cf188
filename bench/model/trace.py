"""Trace of a run, and the check of the tier rule, which reads only it.

Tier 0 is the highest. When a request is shed, no request of a lower tier of
its pool may be dispatched in the next second. Nor may one that was queued
at that time be dispatched later.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# No lower tier may be dispatched for this long after a request was shed.
LOWER_TIER_BLOCK_S = 1.0


class TraceKind(StrEnum):
    """Kind of a trace event."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """Event of a request in a pool."""

    time_s: float
    kind: TraceKind
    request_id: str
    tier: int
    pool: str


def find_tier_violations(
    events: Iterable[TraceEvent],
) -> list[tuple[TraceEvent, TraceEvent]]:
    """Return the violations of the tier rule.

    Each is the event of a shed request and that of the dispatch of a lower
    tier's request that it forbids.
    """
    sheds: dict[tuple[str, int], list[TraceEvent]] = {}
    queued: dict[tuple[str, str], list[float]] = {}
    dispatches = []
    for event in sorted(events, key=lambda event: event.time_s):
        key = (event.pool, event.request_id)
        if event.kind is TraceKind.SHED:
            sheds.setdefault((event.pool, event.tier), []).append(event)
        elif event.kind is TraceKind.QUEUED:
            queued.setdefault(key, []).append(event.time_s)
        elif event.kind is TraceKind.DISPATCHED:
            dispatches.append(event)
    violations = []
    for dispatch in dispatches:
        queued_at_s = queued.get((dispatch.pool, dispatch.request_id), [])
        first_s = min([dispatch.time_s - LOWER_TIER_BLOCK_S, *queued_at_s])
        for (pool, tier), shed in sheds.items():
            if pool != dispatch.pool or tier >= dispatch.tier:
                continue
            # First shed request since the dispatched one was queued, or within
            # LOWER_TIER_BLOCK_S before the dispatch.
            times = [event.time_s for event in shed]
            index = bisect.bisect_left(times, first_s)
            if index < len(shed) and times[index] < dispatch.time_s:
                violations.append((shed[index], dispatch))
    return violations
