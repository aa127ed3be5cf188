"""Age of a caller's request that came back after a refusal."""

from __future__ import annotations

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route

# Differences below this are the caller's own delays.
SMALLEST_AGE_S = 0.05


class CallerPatience:
    """Learns how long the callers of each route wait in all.

    A caller that comes back sends what is left of its time, so that the
    difference to the longest time seen is the age of its first attempt.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def age_s(self, route: Route, request: CallerRequest) -> float:
        """Return how long ago the caller first sent this request."""
        if request.deadline_s is None:
            return 0.0
        longest_s = max(
            self._longest_s.get(route.name, 0.0), request.deadline_s
        )
        self._longest_s[route.name] = longest_s
        age_s = longest_s - request.deadline_s
        return age_s if age_s >= SMALLEST_AGE_S else 0.0
