"""Baseline of the version moves: canary steps at fixed times."""

from __future__ import annotations

from random import Random

from azurewick.rollout.models import MoveState
from bench.moves_model import draw_binomial
from bench.moves_model import draw_poisson
from bench.moves_model import GOOD_FAILURE_RATE
from bench.moves_model import GOOD_SLOW_RATE
from bench.moves_model import MoveCase
from bench.moves_model import MoveResult
from bench.moves_model import ROUTES

STEP_SHARES = (0.05, 0.25, 0.50, 1.0)
# Largest excess of the failure or slow rate over that of the old version at
# the end of a step, as a difference of the two shares.
MAX_RATE_EXCESS = 0.05
# A step is simulated in parts, since a fault may begin during it.
PARTS_PER_STEP = 4


def run_canary(case: MoveCase, random: Random) -> MoveResult:
    """Run a case with fixed steps; each step uses all servers."""
    result = MoveResult(
        state=MoveState.DONE,
        class_requests=case.requests_per_s * case.duration_s,
        unaccepted_share=max(STEP_SHARES),
    )
    step_s = case.duration_s / len(STEP_SHARES)
    for index, share in enumerate(STEP_SHARES):
        requests, failures, slow = 0, 0, 0
        for part in range(PARTS_PER_STEP):
            elapsed_s = step_s * (index + part / PARTS_PER_STEP)
            mean = share * case.requests_per_s * step_s / PARTS_PER_STEP
            for route, weight in ROUTES.items():
                number = draw_poisson(mean * weight, random)
                server = random.randrange(case.servers)
                rates = case.rates(route, server, elapsed_s, share)
                requests += number
                failures += draw_binomial(number, rates[0], random)
                slow += draw_binomial(number, rates[1], random)
        result.exposed_requests += requests
        result.done_s = step_s * (index + 1)
        excess = max(
            failures / requests - GOOD_FAILURE_RATE,
            slow / requests - GOOD_SLOW_RATE,
        )
        if excess > MAX_RATE_EXCESS:
            result.state = MoveState.ROLLED_BACK
            break
    return result
