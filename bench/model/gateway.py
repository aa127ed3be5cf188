"""Gateway of the model: retries, admission floors and shedding."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from azurewick.admission.floor import FloorRound
from azurewick.admission.retry_budget import build_late_answer_budget
from azurewick.admission.retry_budget import MAX_OFFERS
from azurewick.admission.retry_budget import RetryBudget
from azurewick.const import ADMISSION_FLOOR_DURATION_S
from azurewick.errors import ErrorCode
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.estimator import OutputLengthPredictor
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus
from azurewick.routing.models import Router
from azurewick.routing.selector import LeastCostRouter
from bench.model.agent import Agent
from bench.model.agent import QueueingAgent
from bench.model.clock import VirtualClock
from bench.model.trace import TraceEvent
from bench.model.trace import TraceKind
from bench.model.workload import Job
from bench.model.workload import POOL

SAME_REGION_LATENCY_S = 0.0005
CROSS_REGION_LATENCY_S = 0.008


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """Request that a gateway handles.

    excluded has the servers that refused it or could not be reached.
    may_miss_target says that it is now offered without a deadline, after its
    offers within the target were refused.
    """

    job: Job
    offer: Offer
    offer_count: int = 0
    sent_s: float = 0.0
    may_miss_target: bool = False
    excluded: set[str] = field(default_factory=set)


class Gateway:
    """Gateway that offers each request to the server its router chooses.

    report_age_s is the age of load reports on arrival. None stands for 1 s
    at a sync, and for the network latency, or none, with an answer.
    """

    def __init__(
        self,
        clock: VirtualClock,
        router: Router,
        agents: dict[str, Agent],
        *,
        region: str,
        trace: list[TraceEvent],
        lowest_tier: int,
        report_age_s: float | None = None,
    ) -> None:
        self.clock = clock
        self.router = router
        self.region = region
        self.agents = agents
        self.predictor = OutputLengthPredictor()
        self.retry_budget = RetryBudget()
        self.pending: dict[str, PendingRequest] = {}
        self.floor_messages = 0
        self._report_age_s = report_age_s
        self._trace = trace
        self._lowest_tier = lowest_tier
        self._live = set(agents)
        self._late_budgets = [
            build_late_answer_budget() for _ in range(lowest_tier)
        ]
        self._floor_rounds: dict[int, FloorRound] = {}
        self._waiting_for_floor: list[PendingRequest] = []
        self._update_servers()

    def handle(self, job: Job) -> None:
        """Handle a request of a caller."""
        target = job.class_load.request_class.target
        offer = Offer(
            request_id=job.request_id,
            customer=job.customer,
            request_class=job.class_load.request_class.name,
            tier=job.tier,
            method="POST",
            path="/v1/chat/completions",
            budget_s=target.start_budget_s,
            prompt_tokens=job.prompt_tokens,
            expected_output_tokens=self.predictor.predict(
                job.customer, job.class_load.request_class.name
            ),
            prefix_hashes=job.prefix_hashes,
        )
        pending = PendingRequest(job=job, offer=offer)
        self.pending[job.request_id] = pending
        self.retry_budget.record_request(self.clock.now_s)
        if job.tier < self._lowest_tier:
            self._late_budgets[job.tier].record_request(self.clock.now_s)
        self._send(pending)

    def record_crash(self, name: str) -> None:
        """Remove a server that the membership reports as gone."""
        self._live.discard(name)
        self._update_servers()

    def sync(self) -> None:
        """Receive the load reports of all servers, and renew agent contact."""
        for name in sorted(self._live):
            agent = self.agents[name]
            if agent.is_crashed:
                continue
            if isinstance(agent, QueueingAgent):
                agent.floor.record_contact(self.clock.now_s)
            age_s = 1.0 if self._report_age_s is None else self._report_age_s
            self._deliver_report(agent, age_s)

    def on_first_token(self, job: Job, agent: Agent) -> None:
        """Record when the first token reaches the gateway."""
        latency_s = self._latency_s(agent)
        job.first_token_s = self.clock.now_s + latency_s
        self._deliver_report(agent, max(latency_s, self._report_age_s or 0.0))

    def on_finish(self, job: Job, agent: Agent) -> None:
        """Record the end of an answer and its result for the router."""
        job.finish_s = self.clock.now_s + self._latency_s(agent)
        pending = self.pending.pop(job.request_id)
        self.predictor.record(
            job.customer, job.class_load.request_class.name, job.output_tokens
        )
        first_token_s = job.first_token_s or job.finish_s
        result = OfferResult(
            status=OfferStatus.FINISHED,
            first_token_s=first_token_s - pending.sent_s,
            duration_s=job.finish_s - pending.sent_s,
            prompt_tokens=job.prompt_tokens,
            cached_tokens=job.cached_tokens,
            output_tokens=job.output_tokens,
        )
        self.router.record_result(
            pending.offer, agent.server.name, result, self.clock.now_s
        )

    def on_refused(self, job: Job, agent: Agent, reason: ErrorCode) -> None:
        """Handle a refusal after the network latency."""
        self.clock.call_later(
            self._latency_s(agent), self._retry, job, agent, reason
        )

    def on_broken(self, job: Job, agent: Agent) -> None:
        """Record a reset connection; the request's outcome is unknown."""
        pending = self.pending.pop(job.request_id, None)
        if pending is not None:
            self._record_failed(pending, agent, OfferStatus.BROKEN)

    def _retry(self, job: Job, agent: Agent, reason: ErrorCode) -> None:
        pending = self.pending[job.request_id]
        self._record_failed(pending, agent, OfferStatus.REFUSED)
        self._deliver_report(agent, self._report_age_s or 0.0)
        pending.excluded.add(agent.server.name)
        if (
            reason is not ErrorCode.DISPLACED
            and pending.offer_count < MAX_OFFERS
            and self.retry_budget.try_retry(self.clock.now_s)
        ):
            self._send(pending)
        else:
            self._shed_when_confirmed(pending)

    def _send(self, pending: PendingRequest) -> None:
        now_s = self.clock.now_s
        name = self.router.choose(
            pending.offer,
            excluded=frozenset(pending.excluded),
            version=None,
            now_s=now_s,
        )
        if name is None:
            self._shed_when_confirmed(pending)
            return
        pending.offer_count += 1
        pending.sent_s = now_s
        if isinstance(self.router, LeastCostRouter):
            pending.offer = replace(
                pending.offer,
                budget_s=self._budget_s(pending),
                expected_cached_tokens=self.router.expected_cached_tokens(
                    pending.offer, name
                ),
            )
        self.router.record_sent(pending.offer, name, now_s)
        agent = self.agents[name]
        self.clock.call_later(
            self._latency_s(agent), self._on_arrival, pending, agent
        )

    def _budget_s(self, pending: PendingRequest) -> float | None:
        job = pending.job
        budget_s = job.class_load.request_class.target.start_budget_s
        if budget_s is None or pending.may_miss_target:
            return None
        return budget_s - (self.clock.now_s - job.arrival_s)

    def _on_arrival(self, pending: PendingRequest, agent: Agent) -> None:
        if agent.is_crashed:
            # The connection could not be opened, so the request was not run.
            self._record_failed(pending, agent, OfferStatus.FAILED)
            pending.excluded.add(agent.server.name)
            if len(pending.excluded) < MAX_OFFERS:
                self._send(pending)
            else:
                self._shed_when_confirmed(pending)
            return
        agent.offer(pending.job, pending.offer, self)

    def _shed_when_confirmed(self, pending: PendingRequest) -> None:
        """Shed a request as soon as the pool's floor is confirmed.

        Requests of the lowest tier are shed at once. A request of another
        tier is first offered again without a deadline, if the budget for
        late answers allows it. Otherwise it waits until the agents have
        acknowledged an admission floor that covers its tier.
        """
        tier = pending.offer.tier
        if tier >= self._lowest_tier or self._is_confirmed(tier):
            self._shed(pending)
            return
        if not pending.may_miss_target and self._late_budgets[tier].try_retry(
            self.clock.now_s
        ):
            pending.may_miss_target = True
            pending.excluded.clear()
            self._send(pending)
            return
        self._waiting_for_floor.append(pending)
        current = self._floor_rounds.get(tier)
        if current is not None and current.is_valid(self.clock.now_s):
            return
        floor_round = FloorRound(
            sorted(self._live),
            floor_tier=tier,
            started_s=self.clock.now_s,
            unreachable_since_s=(
                current.unreachable_since_s if current is not None else None
            ),
        )
        self._floor_rounds[tier] = floor_round
        for name in sorted(floor_round.pending()):
            self.floor_messages += 1
            self.clock.call_later(
                self._latency_s(self.agents[name]),
                self._set_floor,
                self.agents[name],
                floor_round,
            )

    def _set_floor(self, agent: Agent, floor_round: FloorRound) -> None:
        if agent.is_crashed:
            floor_round.record_unreachable(agent.server.name, self.clock.now_s)
            self.clock.call_later(0.5, self._on_ack, None, floor_round)
            return
        if isinstance(agent, QueueingAgent):
            agent.set_floor(floor_round.floor_tier, ADMISSION_FLOOR_DURATION_S)
        self.clock.call_later(
            self._latency_s(agent), self._on_ack, agent, floor_round
        )

    def _on_ack(self, agent: Agent | None, floor_round: FloorRound) -> None:
        if agent is not None:
            floor_round.record_ack(agent.server.name, self.clock.now_s)
        waiting, self._waiting_for_floor = self._waiting_for_floor, []
        for pending in waiting:
            self._shed_when_confirmed(pending)

    def _is_confirmed(self, tier: int) -> bool:
        return any(
            entry.floor_tier <= tier and entry.is_confirmed(self.clock.now_s)
            for entry in self._floor_rounds.values()
        )

    def _shed(self, pending: PendingRequest) -> None:
        job = pending.job
        job.is_shed = True
        del self.pending[job.request_id]
        self._trace.append(
            TraceEvent(
                self.clock.now_s,
                TraceKind.SHED,
                job.request_id,
                job.tier,
                POOL,
            )
        )

    def _record_failed(
        self, pending: PendingRequest, agent: Agent, status: OfferStatus
    ) -> None:
        result = OfferResult(
            status=status,
            first_token_s=None,
            duration_s=self.clock.now_s - pending.sent_s,
            prompt_tokens=0,
            cached_tokens=0,
            output_tokens=0,
        )
        self.router.record_result(
            pending.offer, agent.server.name, result, self.clock.now_s
        )

    def _deliver_report(self, agent: Agent, delay_s: float) -> None:
        report = agent.report()
        self.clock.call_later(
            delay_s, self._on_report, report, self.clock.now_s
        )

    def _on_report(self, report: LoadReport, sent_at_s: float) -> None:
        now_s = self.clock.now_s
        self.router.record_report(
            replace(report, age_s=now_s - sent_at_s), now_s
        )

    def _update_servers(self) -> None:
        self.router.update_servers(
            [self.agents[name].server for name in sorted(self._live)]
        )

    def _latency_s(self, agent: Agent) -> float:
        if agent.server.region == self.region:
            return SAME_REGION_LATENCY_S
        return CROSS_REGION_LATENCY_S
