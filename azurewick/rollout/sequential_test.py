"""Sequential probability ratio tests of a new version against the old one.

Each test looks at one kind of bad outcome, such as failed or slow requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log

# A good version is rejected at most once in this many of its requests, for
# each route and kind of outcome that is tested (Lorden's bound for the
# cumulative sum test). A move has far fewer requests.
REQUESTS_PER_FALSE_REJECTION = 1e8
# The evidence without the worst server has to show the fault as well. A weaker
# bound is sufficient there because both tests have to reject.
REQUESTS_PER_FALSE_REJECTION_WITHOUT_WORST = 1e5
# Probability that one acceptance test accepts a version as bad as the
# alternative hypothesis.
FALSE_ACCEPTANCE_RATE = 1e-3

REJECTION_BOUND = log(REQUESTS_PER_FALSE_REJECTION)
REJECTION_BOUND_WITHOUT_WORST = log(REQUESTS_PER_FALSE_REJECTION_WITHOUT_WORST)
ACCEPTANCE_BOUND = log(FALSE_ACCEPTANCE_RATE)


@dataclass(frozen=True, slots=True)
class AlternativeHypothesis:
    """Rate of bad outcomes that makes a version bad.

    The rate is at least min_increase above the rate of the old version and
    at least min_ratio times that rate. min_good_rate is the smallest rate
    that is assumed for the old version.
    """

    min_good_rate: float
    min_increase: float
    min_ratio: float

    def log_likelihood_ratios(self, old_rate: float) -> tuple[float, float]:
        """Return the log likelihood ratios of a bad and of a good outcome.

        A positive ratio is evidence for the alternative hypothesis.
        """
        good_rate = min(max(old_rate, self.min_good_rate), 0.9)
        bad_rate = min(
            max(good_rate + self.min_increase, good_rate * self.min_ratio),
            0.95,
        )
        return log(bad_rate / good_rate), log((1 - bad_rate) / (1 - good_rate))


@dataclass(slots=True)
class _ServerEvidence:
    """Sums of log likelihood ratios of one server, as in SequentialTest."""

    rejection: float = 0.0
    acceptance: float = 0.0


class SequentialTest:
    """Sequential probability ratio test over the servers of a version.

    Rejection uses the cumulative sum form, in which the sum never falls below
    zero, so that a long time without faults doesn't delay the detection of a
    version that turns bad. It requires the sum over all servers and the sum
    over all servers but the worst to pass their bounds. Acceptance uses
    Wald's form since the last restart. It is reached with the evidence of all
    servers or, if there is more than one, without the worst server.
    """

    __slots__ = ("_acceptance", "_rejection", "_rest", "_servers", "_worst")

    def __init__(self) -> None:
        self._rejection = 0.0
        # The rejection sum over all servers but the worst.
        self._rest = 0.0
        self._acceptance = 0.0
        self._servers: dict[str, _ServerEvidence] = {}
        # Name of the server with the largest rejection sum.
        self._worst = ""

    @property
    def is_empty(self) -> bool:
        """Return whether no outcome has been added yet."""
        return not self._servers

    def update(
        self, server: str, rejection_change: float, acceptance_change: float
    ) -> None:
        """Add the log likelihood ratios of a server's outcomes.

        rejection_change and acceptance_change are the sums of the ratios for
        the rejection and for the acceptance test.
        """
        evidence = self._servers.get(server)
        if evidence is None:
            evidence = self._servers[server] = _ServerEvidence()
        evidence.rejection = max(0.0, evidence.rejection + rejection_change)
        evidence.acceptance += acceptance_change
        self._rejection = max(0.0, self._rejection + rejection_change)
        self._acceptance += acceptance_change
        if server != self._worst:
            self._rest = max(0.0, self._rest + rejection_change)
        self._update_worst(server, evidence)

    def is_rejected(self, *, has_single_server: bool) -> bool:
        """Return whether the version is rejected.

        Unless has_single_server is set, the servers other than the worst
        have to show the fault as well.
        """
        if self._rejection < REJECTION_BOUND:
            return False
        return has_single_server or self._rest >= REJECTION_BOUND_WITHOUT_WORST

    def is_accepted(self) -> bool:
        """Return whether the fault is ruled out, apart from one server."""
        if self._acceptance <= ACCEPTANCE_BOUND:
            return True
        if len(self._servers) <= 1:
            return False
        worst = max(item.acceptance for item in self._servers.values())
        return self._acceptance - worst <= ACCEPTANCE_BOUND

    def restart_acceptance(self) -> None:
        """Start a new acceptance test without the evidence so far."""
        self._acceptance = 0.0
        for evidence in self._servers.values():
            evidence.acceptance = 0.0

    def _update_worst(self, name: str, evidence: _ServerEvidence) -> None:
        servers = self._servers
        if name == self._worst:
            name = max(servers, key=lambda item: servers[item].rejection)
            evidence = servers[name]
        worst = servers.get(self._worst)
        if name == self._worst or (
            worst is not None and evidence.rejection <= worst.rejection
        ):
            return
        # The sum without the worst server now includes the previous worst
        # one, so it is at least that server's own sum.
        previous_worst_sum = worst.rejection if worst is not None else 0.0
        self._worst = name
        self._rest = max(
            previous_worst_sum, self._rejection - evidence.rejection
        )
