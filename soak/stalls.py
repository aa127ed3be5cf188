"""Stalls of the soak's own event loop."""

from __future__ import annotations

import asyncio
from time import monotonic

from soak.records import Disturbance
from soak.records import History
from soak.records import Stall

CHECK_INTERVAL_S = 0.02
MIN_STALL_S = 0.1
KIND_STALL = "stall"
# A stall of this length is a fault of the store and of all servers and links:
# connections to them time out after half a second.
MIN_DISTURBING_STALL_S = 0.5


async def async_record_stalls(history: History) -> None:
    """Record stalls until cancelled, the long ones as disturbances.

    A stall delays what callers, proxies and backend servers of the soak see
    by its length, as they share the event loop.
    """
    while True:
        before_s = monotonic()
        await asyncio.sleep(CHECK_INTERVAL_S)
        after_s = monotonic()
        stall_s = after_s - before_s - CHECK_INTERVAL_S
        if stall_s > MIN_STALL_S:
            history.stalls.append(Stall(started_s=before_s, ended_s=after_s))
        if stall_s > MIN_DISTURBING_STALL_S:
            history.disturbances.append(
                Disturbance(
                    kind=KIND_STALL, started_s=before_s, ended_s=after_s
                )
            )
