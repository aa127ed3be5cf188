"""Age of a request that its caller retried after a refusal."""

from __future__ import annotations

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route

# Smaller differences come from delays in the caller itself.
MIN_AGE_S = 0.05


class RequestAgeEstimator:
    """Estimates how long ago a caller first sent a request.

    A caller that retries sends the time that is left until its deadline.
    The age of its first attempt is the difference to the longest deadline
    seen on the route, which is taken for the deadline of a first attempt.
    """

    def __init__(self) -> None:
        self._max_deadline_s: dict[str, float] = {}

    def age_s(self, route: Route, request: CallerRequest) -> float:
        """Return the time since the first attempt, 0 for a first attempt."""
        if request.deadline_s is None:
            return 0.0
        max_deadline_s = max(
            self._max_deadline_s.get(route.name, 0.0), request.deadline_s
        )
        self._max_deadline_s[route.name] = max_deadline_s
        age_s = max_deadline_s - request.deadline_s
        return age_s if age_s >= MIN_AGE_S else 0.0
