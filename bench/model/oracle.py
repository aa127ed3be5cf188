"""Oracle policy: one queue for the pool, with known lengths and speeds."""

from __future__ import annotations

import heapq

from azurewick.const import LOWEST_TIER
from bench.model.clock import VirtualClock
from bench.model.engine import Engine
from bench.model.engine import EngineSpeed
from bench.model.trace import LOWER_TIER_BLOCK_S
from bench.model.workload import Job

# Requests of a tier that are compared by their cached prefix for one engine.
LOOKAHEAD = 12
MAX_PREFILLS = 2
CONTEXT_WAIT_SHARE = 0.5


class OracleServer:
    """Engine of the oracle with its numbers of requests."""

    def __init__(
        self, clock: VirtualClock, speed: EngineSpeed, oracle: Oracle
    ) -> None:
        self._clock = clock
        self._oracle = oracle
        self.engine = Engine(clock, speed, self)
        self.is_crashed = False
        self.running = 0
        self.prefilling = 0
        self.jobs: dict[str, Job] = {}

    def on_first_token(self, job: Job) -> None:
        """Record the first token and dispatch further requests."""
        self.prefilling -= 1
        job.first_token_s = self._clock.now_s
        self._oracle.dispatch_queued()

    def on_finish(self, job: Job) -> None:
        """Record the end, free the place and dispatch further requests."""
        self.running -= 1
        job.finish_s = self._clock.now_s
        self._oracle.dispatch_queued()


class Oracle:
    """Dispatches tiers in order and, inside a tier, the shortest request.

    A request is assigned to an engine only when that has a free place, and
    is shed when the engine can't meet its target. The tier rule holds: for
    a second after a request was shed no lower tier is dispatched.
    batch_share is the part of the largest batch that is used.
    """

    def __init__(
        self,
        clock: VirtualClock,
        speeds: list[EngineSpeed],
        inter_token_s: float,
        batch_share: float,
    ) -> None:
        self._clock = clock
        self._tiers: dict[int, list[tuple[float, int, Job]]] = {}
        self._sequence = 0
        self.servers = [OracleServer(clock, speed, self) for speed in speeds]
        # Until this time only requests of the floor's tier and of higher
        # ones are dispatched.
        self._floor = LOWEST_TIER
        self._floor_until_s = 0.0
        self._context_servers: dict[str, OracleServer] = {}
        # Prefill slows decoding, so only a part of the largest batch without
        # prefill keeps the inter-token target.
        self._batch_limits = [
            max(1, int(batch_share * speed.largest_batch(inter_token_s)))
            for speed in speeds
        ]

    def handle(self, job: Job) -> None:
        """Queue a request by its cost and dispatch."""
        self._sequence += 1
        speed = self.servers[0].engine.speed
        cost_s = (
            job.needed_tokens / speed.prefill_tokens_per_s
            + job.output_tokens / speed.decode_tokens_per_s(0.079)
        )
        heap = self._tiers.setdefault(job.tier, [])
        heapq.heappush(heap, (cost_s, self._sequence, job))
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Dispatch queued requests while an engine has a free place."""
        is_dispatched = True
        while is_dispatched:
            is_dispatched = False
            order = sorted(
                range(len(self.servers)),
                key=lambda index: (
                    self.servers[index].prefilling,
                    self.servers[index].running / self._batch_limits[index],
                ),
            )
            for index in order:
                server = self.servers[index]
                if (
                    server.is_crashed
                    or server.running >= self._batch_limits[index]
                    or server.prefilling >= MAX_PREFILLS
                ):
                    continue
                job = self._take_next(server)
                if job is None:
                    continue
                server.running += 1
                server.prefilling += 1
                server.engine.submit(job)
                is_dispatched = True
                break

    def _take_next(self, server: OracleServer) -> Job | None:
        for tier in sorted(self._tiers):
            if tier > self._floor and self._clock.now_s <= self._floor_until_s:
                return None
            heap = self._tiers[tier]
            candidates: list[tuple[float, int, Job]] = []
            held_back: list[tuple[float, int, Job]] = []
            while heap and len(candidates) < LOOKAHEAD:
                entry = heapq.heappop(heap)
                if not self._is_feasible(entry[2], server):
                    self._shed(entry[2])
                elif self._may_run_on(entry[2], server):
                    candidates.append(entry)
                else:
                    held_back.append(entry)
            for entry in held_back:
                heapq.heappush(heap, entry)
            if not candidates:
                continue
            best = max(
                candidates,
                key=lambda entry: (
                    server.engine.cached_tokens(entry[2])
                    >= entry[2].context_tokens,
                    -entry[0],
                ),
            )
            for entry in candidates:
                if entry is not best:
                    heapq.heappush(heap, entry)
            return best[2]
        return None

    def _shed(self, job: Job) -> None:
        """Shed a request and, for the tier rule, all queued of lower tiers."""
        job.is_shed = True
        for tier in self._tiers:
            if tier > job.tier:
                for _, _, lower in self._tiers[tier]:
                    lower.is_shed = True
                self._tiers[tier].clear()
        if self._clock.now_s > self._floor_until_s:
            self._floor = job.tier
        self._floor = min(self._floor, job.tier)
        self._floor_until_s = self._clock.now_s + LOWER_TIER_BLOCK_S

    def _may_run_on(self, job: Job, server: OracleServer) -> bool:
        """Return whether a request may go to this server.

        The requests of a context go to servers that have it in the cache or
        to its preferred server. After half of the time to the target they
        may go to any server.
        """
        if not job.context or server.engine.holds_context(job):
            return True
        preferred = self._context_servers.setdefault(job.context, server)
        budget_s = job.class_load.request_class.target.start_budget_s or 0.0
        waited_s = self._clock.now_s - job.arrival_s
        return preferred is server or waited_s > CONTEXT_WAIT_SHARE * budget_s

    def _is_feasible(self, job: Job, server: OracleServer) -> bool:
        speed = server.engine.speed
        cached = server.engine.cached_tokens(job)
        needed_s = (job.prompt_tokens - cached) / speed.prefill_tokens_per_s
        target = job.class_load.request_class.target
        if target.first_token_s is None and target.completion_s is not None:
            needed_s += job.output_tokens * speed.step_s(server.running + 1)
        budget_s = target.start_budget_s
        return (
            budget_s is None
            or self._clock.now_s + needed_s <= job.arrival_s + budget_s
        )
