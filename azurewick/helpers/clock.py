"""Clocks of the daemons.

Code that makes decisions takes the time as an argument instead, so that tests
can set it.
"""

from __future__ import annotations

from time import monotonic
from time import time


def monotonic_s() -> float:
    """Return the monotonic time, for durations and deadlines."""
    return monotonic()


def wall_clock_s() -> float:
    """Return the time since the epoch, for times shown or stored."""
    return time()
