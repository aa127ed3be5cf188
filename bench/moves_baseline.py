"""Baseline of the moves: canary steps at fixed times."""

from __future__ import annotations

from random import Random

from azurewick.rollout.models import MoveState
from bench.moves_model import Case
from bench.moves_model import draw_binomial
from bench.moves_model import draw_poisson
from bench.moves_model import GOOD_FAILURE_RATE
from bench.moves_model import GOOD_SLOW_RATE
from bench.moves_model import MoveResult
from bench.moves_model import ROUTES

SHARES = (0.05, 0.25, 0.50, 1.0)
# Points by which a rate may be above the old version's at a step's end.
MAX_EXCESS = 0.05
# Parts of a step in which a fault may set in.
PARTS = 4


def run_canary(case: Case, random: Random) -> MoveResult:
    """Run a case in fixed steps; each one spreads over all servers."""
    result = MoveResult(
        state=MoveState.DONE,
        class_requests=case.requests_per_s * case.duration_s,
        unaccepted_share=max(SHARES),
    )
    step_s = case.duration_s / len(SHARES)
    for index, share in enumerate(SHARES):
        requests, failures, slow = 0, 0, 0
        for part in range(PARTS):
            elapsed_s = step_s * (index + part / PARTS)
            mean = share * case.requests_per_s * step_s / PARTS
            for route, weight in ROUTES.items():
                number = draw_poisson(mean * weight, random)
                server = random.randrange(case.servers)
                rates = case.rates(route, server, elapsed_s, share)
                requests += number
                failures += draw_binomial(number, rates[0], random)
                slow += draw_binomial(number, rates[1], random)
        result.exposed += requests
        result.done_s = step_s * (index + 1)
        excess = max(
            failures / requests - GOOD_FAILURE_RATE,
            slow / requests - GOOD_SLOW_RATE,
        )
        if excess > MAX_EXCESS:
            result.state = MoveState.ROLLED_BACK
            break
    return result
