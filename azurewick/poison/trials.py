"""Trials of convictions: single requests that run in spite of one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# The first trial waits for crashes that are still to be reported.
TRIAL_DELAY_S: Final = 2.0
TRIAL_INTERVAL_S: Final = 5.0
MAX_TRIALS: Final = 2
# Crashes from which on nothing is tried. The platform counts the requests that
# come after the fifth crash.
MAX_TRIED_CRASHES: Final = 4


@dataclass(slots=True)
class _Plan:
    """Trials of one conviction."""

    crashes: int
    next_s: float
    left: int = MAX_TRIALS


class TrialSchedule:
    """Decides when a request with convicted traits may run.

    While all such requests are refused, no sound answer could show that a
    conviction is wrong. The instance that has found it lets a request run
    after a while, and another one if the first has neither crashed its
    server nor ended well. A crash after the conviction confirms it, and ends
    the trials.
    """

    def __init__(self) -> None:
        self._plans: dict[str, _Plan] = {}

    def add(self, name: str, crashes: int, now_s: float) -> None:
        """Plan the trials of a conviction that was reached by crashes."""
        self._plans[name] = _Plan(crashes, now_s + TRIAL_DELAY_S)

    def replace(self, old: str, new: str, crashes: int) -> None:
        """Go on with the trials of a conviction that has been replaced."""
        plan = self._plans.pop(old, None)
        if plan is not None:
            plan.crashes = crashes
            self._plans[new] = plan

    def remove(self, name: str) -> None:
        """Drop the trials of a conviction."""
        self._plans.pop(name, None)

    def is_due(self, name: str, crashes: int, now_s: float) -> bool:
        """Return whether a request may run; crashes are those known now."""
        plan = self._plans.get(name)
        if plan is None:
            return False
        if crashes > min(plan.crashes, MAX_TRIED_CRASHES) or not plan.left:
            del self._plans[name]
            return False
        return now_s >= plan.next_s

    def start(self, name: str, now_s: float) -> None:
        """Count a trial."""
        plan = self._plans[name]
        plan.left -= 1
        plan.next_s = now_s + TRIAL_INTERVAL_S
