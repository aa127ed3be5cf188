"""Oracle: one queue for the pool that knows true lengths and speeds."""

from __future__ import annotations

import heapq

from azurewick.const import LOWEST_TIER
from bench.model.clock import VirtualClock
from bench.model.engine import Engine
from bench.model.engine import EngineSpeed
from bench.model.trace import RULE_WINDOW_S
from bench.model.workload import Job

# Requests of a tier compared for their cached prefix on one engine.
LOOKAHEAD = 12
MAX_PREFILLS = 2
HOME_WAIT = 0.5


class OracleServer:
    """Engine of the oracle."""

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
        """Record the first token."""
        self.prefilling -= 1
        job.first_token_s = self._clock.now_s
        self._oracle.pump()

    def on_finish(self, job: Job) -> None:
        """Record the end and free a place."""
        self.running -= 1
        job.finish_s = self._clock.now_s
        self._oracle.pump()


class Oracle:
    """Dispatch tiers in order and, inside a tier, the shortest first.

    A request is assigned to an engine only when that has a free place, and
    is dropped when the engine can't meet its target. The tier rule holds:
    for a second after a request was dropped no lower tier is dispatched.
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
        self._floor = LOWEST_TIER
        self._floor_until_s = 0.0
        self._homes: dict[str, OracleServer] = {}
        # Prefill slows decoding, so that less than the batch without prefill
        # keeps the inter-token target.
        self._limits = [
            max(1, int(batch_share * speed.best_batch(inter_token_s)))
            for speed in speeds
        ]

    def handle(self, job: Job) -> None:
        """Receive a request."""
        self._sequence += 1
        speed = self.servers[0].engine.speed
        cost_s = (
            job.needed_tokens / speed.prefill_tokens_per_s
            + job.output_tokens / speed.decode_tokens_per_s(0.079)
        )
        heap = self._tiers.setdefault(job.tier, [])
        heapq.heappush(heap, (cost_s, self._sequence, job))
        self.pump()

    def pump(self) -> None:
        """Dispatch while an engine has a free place."""
        progress = True
        while progress:
            progress = False
            order = sorted(
                range(len(self.servers)),
                key=lambda index: (
                    self.servers[index].prefilling,
                    self.servers[index].running / self._limits[index],
                ),
            )
            for index in order:
                server = self.servers[index]
                if (
                    server.is_crashed
                    or server.running >= self._limits[index]
                    or server.prefilling >= MAX_PREFILLS
                ):
                    continue
                job = self._take(server)
                if job is None:
                    continue
                server.running += 1
                server.prefilling += 1
                server.engine.submit(job)
                progress = True
                break

    def _take(self, server: OracleServer) -> Job | None:
        for tier in sorted(self._tiers):
            if tier > self._floor and self._clock.now_s <= self._floor_until_s:
                return None
            heap = self._tiers[tier]
            taken: list[tuple[float, int, Job]] = []
            others: list[tuple[float, int, Job]] = []
            while heap and len(taken) < LOOKAHEAD:
                entry = heapq.heappop(heap)
                if not self._is_feasible(entry[2], server):
                    self._shed(entry[2])
                elif self._is_at_home(entry[2], server):
                    taken.append(entry)
                else:
                    others.append(entry)
            for entry in others:
                heapq.heappush(heap, entry)
            if not taken:
                continue
            best = max(
                taken,
                key=lambda entry: (
                    server.engine.cached_tokens(entry[2])
                    >= entry[2].context_tokens,
                    -entry[0],
                ),
            )
            for entry in taken:
                if entry is not best:
                    heapq.heappush(heap, entry)
            return best[2]
        return None

    def _shed(self, job: Job) -> None:
        """Shed a request; the tier rule holds for the oracle too."""
        job.shed = True
        for tier in self._tiers:
            if tier > job.tier:
                for _, _, lower in self._tiers[tier]:
                    lower.shed = True
                self._tiers[tier].clear()
        if self._clock.now_s > self._floor_until_s:
            self._floor = job.tier
        self._floor = min(self._floor, job.tier)
        self._floor_until_s = self._clock.now_s + RULE_WINDOW_S

    def _is_at_home(self, job: Job, server: OracleServer) -> bool:
        """Return whether a request should go to this server.

        The requests of a context go to one server until half of the time
        to the target has passed.
        """
        if not job.context or server.engine.holds_context(job):
            return True
        home = self._homes.setdefault(job.context, server)
        budget_s = job.load.request_class.target.start_budget_s or 0.0
        waited_s = self._clock.now_s - job.arrival_s
        return home is server or waited_s > HOME_WAIT * budget_s

    def _is_feasible(self, job: Job, server: OracleServer) -> bool:
        speed = server.engine.speed
        cached = server.engine.cached_tokens(job)
        needed_s = (job.prompt_tokens - cached) / speed.prefill_tokens_per_s
        target = job.load.request_class.target
        if target.first_token_s is None and target.completion_s is not None:
            needed_s += job.output_tokens * speed.step_s(server.running + 1)
        budget_s = target.start_budget_s
        return (
            budget_s is None
            or self._clock.now_s + needed_s <= job.arrival_s + budget_s
        )
