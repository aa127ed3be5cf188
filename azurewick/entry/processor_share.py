"""Measured lateness of the event loop, as the weight in elections."""

from __future__ import annotations

import asyncio
from asyncio import get_running_loop
from collections import deque
from collections.abc import Callable
from logging import getLogger
from math import inf
from statistics import median

_LOGGER = getLogger(__name__)

SAMPLE_INTERVAL_S = 0.1
# The median of so many samples counts: a single pause, as at the start, is no
# overload.
SAMPLES = 31
# Lateness up to which an instance reports a processor share. An instance with
# a small part of a core is up to 10 ms late, some ms in the median, without
# being overloaded; it is a broker only if few others can be.
SHARES_BY_LATENESS = ((0.0015, 1.0), (0.005, 0.3), (0.03, 0.1))
# A higher share is reported only after the lateness has been as low for this
# long: each change may move brokers to other instances.
RISE_AFTER_S = 5.0


class ProcessorShare:
    """Share that an instance reports; 0 while its event loop is late.

    on_change is called with each new share.
    """

    def __init__(self, on_change: Callable[[float], None]) -> None:
        self.value = SHARES_BY_LATENESS[0][1]
        self._on_change = on_change
        self._samples_s: deque[float] = deque(maxlen=SAMPLES)
        self._higher_since_s = inf
        self._is_stopping = False

    def stop(self) -> None:
        """Report 0 from now on, as the instance is about to end."""
        self._is_stopping = True
        self._set(0.0)

    def add_sample(self, lateness_s: float, now_s: float) -> None:
        """Add a measured lateness of the event loop."""
        if self._is_stopping:
            return
        self._samples_s.append(lateness_s)
        if len(self._samples_s) < SAMPLES:
            return
        share = _share(median(self._samples_s))
        if share <= self.value:
            self._higher_since_s = inf
            self._set(share)
            return
        self._higher_since_s = min(self._higher_since_s, now_s)
        if now_s - self._higher_since_s >= RISE_AFTER_S:
            self._higher_since_s = inf
            self._set(share)

    async def async_measure(self) -> None:
        """Measure the lateness until cancelled."""
        loop = get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = loop.time()
            self.add_sample(now_s - due_s, now_s)

    def _set(self, share: float) -> None:
        if share == self.value:
            return
        self.value = share
        _LOGGER.info(
            "processor share for elections changed",
            extra={
                "share": share,
                "lateness_ms": [
                    round(lateness_s * 1000) for lateness_s in self._samples_s
                ],
            },
        )
        self._on_change(share)


def _share(lateness_s: float) -> float:
    for limit_s, share in SHARES_BY_LATENESS:
        if lateness_s <= limit_s:
            return share
    return 0.0
