"""Runs of a scenario under a policy: azurewick, a baseline or the oracle."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
from typing import Final

from azurewick.models import BackendServer
from azurewick.models import PoolKind
from azurewick.routing.baselines import LeastOutstandingRouter
from azurewick.routing.baselines import RoundRobinRouter
from azurewick.routing.baselines import TwoChoicesRouter
from azurewick.routing.models import Router
from azurewick.routing.selector import LeastCostRouter
from bench.model.agent import Agent
from bench.model.agent import QueueingAgent
from bench.model.clock import VirtualClock
from bench.model.engine import EngineSpeed
from bench.model.engine import FAST
from bench.model.engine import SLOW
from bench.model.gateway import Gateway
from bench.model.oracle import Oracle
from bench.model.trace import find_tier_violations
from bench.model.trace import TraceEvent
from bench.model.workload import ASSOCIATION
from bench.model.workload import ClassLoad
from bench.model.workload import FICELLE
from bench.model.workload import INTER_TOKEN_S
from bench.model.workload import Job
from bench.model.workload import JobFactory
from bench.model.workload import POOL
from bench.model.workload import set_needed_tokens

AZUREWICK: Final = "azurewick"
ORACLE: Final = "oracle"
BASELINES: Final[dict[str, Callable[[int], Router]]] = {
    "round_robin": RoundRobinRouter,
    "least_outstanding": LeastOutstandingRouter,
    "two_choices": TwoChoicesRouter,
}
SYNC_INTERVAL_S: Final = 2.0
# Time until the gateways learn of a crashed server from the membership.
CRASH_DETECTION_S: Final = 3.0
STRAGGLER_SLOWDOWN: Final = 10.0
# Time after the last arrival in which open requests may still finish.
DRAIN_TIME_S: Final = 150.0
# Parts of the largest batch without prefill that the oracle is run with.
ORACLE_BATCH_SHARES: Final = (0.5, 0.65)


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Pool, load and fault of a run.

    load is a multiple of the pool's capacity. Arrivals last for warm_s
    (warm-up), measured_s and tail_s; only those of measured_s count. In a
    burst, the requests of burst_s seconds at full capacity arrive within one
    second. straggler slows a fast server down, and crash stops the server
    with the most requests. report_age_s is the age of load reports as Gateway
    takes it.
    """

    loads: tuple[ClassLoad, ...] = ASSOCIATION
    replicas: int = 9
    gateways: int = 3
    load: float = 1.0
    burst_s: float = 0.0
    warm_s: float = 25.0
    measured_s: float = 15.0
    tail_s: float = 2.0
    report_age_s: float | None = None
    straggler: bool = False
    crash: bool = False
    tiers: frozenset[int] = frozenset({0, 1, 2})

    @property
    def end_s(self) -> float:
        """Return the end of the arrivals."""
        return self.warm_s + self.measured_s + self.tail_s

    @property
    def fault_s(self) -> float:
        """Return the time at which a fault or burst begins."""
        return self.warm_s + 2.0


def association_scenario(**fields: object) -> Scenario:
    """Return a scenario with the workload ASSOCIATION."""
    return Scenario(**fields)  # type: ignore[arg-type]


def ficelle_scenario(**fields: object) -> Scenario:
    """Return a scenario with the workload FICELLE (operator Ficelle Lagon)."""
    values: dict[str, object] = {
        "loads": FICELLE,
        "replicas": 5,
        "warm_s": 50.0,
        **fields,
    }
    return Scenario(**values)  # type: ignore[arg-type]


@dataclass(kw_only=True, slots=True)
class RunResult:
    """Jobs of a run that arrived in the measured time, and its trace.

    violations counts breaches of the tier rule in the whole run, and
    floor_messages the calls that set an admission floor.
    """

    scenario: Scenario
    jobs: list[Job]
    trace: list[TraceEvent] = field(default_factory=list)
    violations: int = 0
    floor_messages: int = 0
    # Request ids of the jobs on the faulty server when the fault began.
    affected_ids: set[str] = field(default_factory=set)

    def good_count(self, tier: int | None = None) -> int:
        """Return the number of requests within their target."""
        return sum(
            job.is_good
            for job in self.jobs
            if tier is None or job.tier == tier
        )

    def offered_count(self, tier: int | None = None) -> int:
        """Return the number of requests."""
        return sum(tier is None or job.tier == tier for job in self.jobs)

    def goodput_per_s(self, tier: int | None = None) -> float:
        """Return the goodput of a tier, or of all tiers, in requests/s."""
        return self.good_count(tier) / self.scenario.measured_s

    def wasted_prefill_ratio(self) -> float:
        """Return wasted over needed prompt tokens.

        All prefill of a request that missed its target is wasted, and of
        others that of more than the needed tokens.
        """
        wasted = needed = 0
        for job in self.jobs:
            if not job.computed_tokens:
                continue
            needed += job.needed_tokens
            if job.is_good:
                wasted += max(0, job.computed_tokens - job.needed_tokens)
            else:
                wasted += job.computed_tokens
        return wasted / max(1, needed)

    def affected_share(self, tier: int) -> float:
        """Return the share of a tier's requests that the fault spoiled.

        They were on the faulty server and missed their target.
        """
        hit = sum(
            job.request_id in self.affected_ids and not job.is_good
            for job in self.jobs
            if job.tier == tier
        )
        return hit / max(1, self.offered_count(tier))


def build_speeds(count: int) -> list[EngineSpeed]:
    """Return the speeds of a pool with two hardware generations."""
    return [SLOW if index % 5 in (1, 3) else FAST for index in range(count)]


def build_servers(count: int) -> list[BackendServer]:
    """Return the servers of a pool in two regions."""
    return [
        BackendServer(
            name=f"s{index:03d}",
            pool=POOL,
            kind=PoolKind.MODEL,
            address=f"10.0.0.{index}:80",
            control_address=f"10.0.0.{index}:81",
            failure_domain=f"d{index % 3}",
            region="far" if index % 3 == 2 else "near",
            version="v1",
        )
        for index in range(count)
    ]


def build_jobs(scenario: Scenario, seed: int) -> list[Job]:
    """Return the jobs of a scenario in order of arrival.

    The arrival rate of a class follows from its share of the servers' time
    and from the mean time of its requests; the time for the shared part of
    prompts, which the caches hold, isn't counted.
    """
    factory = JobFactory(scenario.loads, scenario.gateways, seed)
    speeds = build_speeds(scenario.replicas)
    jobs: list[Job] = []
    for load in scenario.loads:
        if load.request_class.tier not in scenario.tiers:
            continue
        # Requests a second that the pool can serve of this class alone.
        capacity_per_s = sum(
            1.0
            / factory.mean_service_s(
                load,
                speed.prefill_tokens_per_s,
                speed.decode_tokens_per_s(INTER_TOKEN_S),
            )
            for speed in speeds
        )
        rate_per_s = scenario.load * load.share * capacity_per_s
        jobs += factory.build_arrivals(load, rate_per_s, 0.0, scenario.end_s)
        if scenario.burst_s:
            count = int(load.share * capacity_per_s * scenario.burst_s)
            jobs += [
                factory.build(load, scenario.fault_s + index / count)
                for index in range(count)
            ]
    jobs.sort(key=lambda job: job.arrival_s)
    cache_tokens = sum(speed.cache_tokens for speed in speeds)
    set_needed_tokens(jobs, cache_tokens)
    return jobs


def run_oracle(scenario: Scenario, seed: int) -> RunResult:
    """Return the oracle's run with the batch size that gives most goodput."""
    results = [
        _run_oracle(scenario, seed, share) for share in ORACLE_BATCH_SHARES
    ]
    return max(results, key=RunResult.good_count)


def _run_oracle(scenario: Scenario, seed: int, share: float) -> RunResult:
    clock = VirtualClock()
    jobs = build_jobs(scenario, seed)
    result = _build_result(scenario, jobs)
    oracle = Oracle(
        clock, build_speeds(scenario.replicas), INTER_TOKEN_S, share
    )
    for job in jobs:
        clock.call_at(job.arrival_s, oracle.handle, job)
    clock.run(scenario.end_s + DRAIN_TIME_S)
    return result


def _build_result(scenario: Scenario, jobs: list[Job]) -> RunResult:
    return RunResult(
        scenario=scenario,
        jobs=[
            job
            for job in jobs
            if 0.0 <= job.arrival_s - scenario.warm_s < scenario.measured_s
        ],
    )


def run(scenario: Scenario, policy: str, seed: int) -> RunResult:
    """Run a scenario under a policy and return its result."""
    if policy == ORACLE:
        return run_oracle(scenario, seed)
    jobs = build_jobs(scenario, seed)
    clock = VirtualClock()
    result = _build_result(scenario, jobs)
    agents = _build_agents(scenario, policy, clock, result.trace)
    gateways = _build_gateways(
        scenario, policy, clock, result.trace, agents, seed
    )
    for job in jobs:
        clock.call_at(job.arrival_s, gateways[job.gateway].handle, job)
    _schedule_syncs(scenario, clock, gateways)
    _schedule_faults(scenario, clock, agents, gateways, result.affected_ids)
    clock.run(scenario.end_s + DRAIN_TIME_S)
    result.violations = len(find_tier_violations(result.trace))
    # Results are cached for several rows, and traces take much memory.
    result.trace.clear()
    result.floor_messages = sum(item.floor_messages for item in gateways)
    return result


def _build_agents(
    scenario: Scenario,
    policy: str,
    clock: VirtualClock,
    trace: list[TraceEvent],
) -> dict[str, Agent]:
    kind = QueueingAgent if policy == AZUREWICK else Agent
    return {
        server.name: kind(clock, server, speed, trace)
        for server, speed in zip(
            build_servers(scenario.replicas),
            build_speeds(scenario.replicas),
            strict=True,
        )
    }


def _build_gateways(
    scenario: Scenario,
    policy: str,
    clock: VirtualClock,
    trace: list[TraceEvent],
    agents: dict[str, Agent],
    seed: int,
) -> list[Gateway]:
    gateways = []
    for index in range(scenario.gateways):
        region = "far" if index % 3 == 2 else "near"
        router: Router
        if policy == AZUREWICK:
            router = LeastCostRouter(
                seed * 1000 + index, region, f"d{index % 3}"
            )
        else:
            router = BASELINES[policy](seed * 1000 + index)
        gateways.append(
            Gateway(
                clock,
                router,
                agents,
                region=region,
                trace=trace,
                lowest_tier=max(scenario.tiers),
                report_age_s=scenario.report_age_s,
            )
        )
    return gateways


def _schedule_syncs(
    scenario: Scenario, clock: VirtualClock, gateways: list[Gateway]
) -> None:
    rng = random.Random(5)
    for gateway in gateways:
        offset_s = rng.random() * SYNC_INTERVAL_S
        for index in range(
            int((scenario.end_s + DRAIN_TIME_S) / SYNC_INTERVAL_S)
        ):
            clock.call_at(offset_s + index * SYNC_INTERVAL_S, gateway.sync)


def _schedule_faults(
    scenario: Scenario,
    clock: VirtualClock,
    agents: dict[str, Agent],
    gateways: list[Gateway],
    affected_ids: set[str],
) -> None:
    def slow_down() -> None:
        # A fast server; these have the largest shares of the traffic.
        agent = agents["s000"]
        affected_ids.update(
            name
            for name, item in agent.offers.items()
            if item.dispatched_s is not None
        )
        agent.engine.set_slowdown(STRAGGLER_SLOWDOWN)

    def crash() -> None:
        # The worst case: the server with the most requests crashes.
        victim = max(
            agents.values(),
            key=lambda agent: (len(agent.offers), agent.server.name),
        )
        affected_ids.update(victim.offers)
        victim.crash()
        for gateway in gateways:
            clock.call_later(
                CRASH_DETECTION_S, gateway.record_crash, victim.server.name
            )

    if scenario.straggler:
        clock.call_at(scenario.fault_s, slow_down)
    if scenario.crash:
        clock.call_at(scenario.fault_s, crash)
