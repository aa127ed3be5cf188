"""Agents of the model: azurewick's admission, or only the engine's queue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from azurewick.admission.batch_limit import BatchLimit
from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.admission.dispatch_window import remaining_prefill_s
from azurewick.admission.floor import AdmissionFloor
from azurewick.admission.models import QueuedRequest
from azurewick.admission.tier_queue import TierQueue
from azurewick.errors import ErrorCode
from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.estimator import ServerRateEstimator
from bench.model.clock import VirtualClock
from bench.model.engine import Engine
from bench.model.engine import EngineSpeed
from bench.model.trace import TraceEvent
from bench.model.trace import TraceKind
from bench.model.workload import Job
from bench.model.workload import POOL

TICK_S = 0.1


class OfferOwner(Protocol):
    """Gateway that sent an offer and receives its results."""

    def on_first_token(self, job: Job, agent: Agent) -> None:
        """Handle the first token."""

    def on_finish(self, job: Job, agent: Agent) -> None:
        """Handle the end of the answer."""

    def on_refused(self, job: Job, agent: Agent, reason: ErrorCode) -> None:
        """Handle a refusal with outcome not_run."""

    def on_broken(self, job: Job, agent: Agent) -> None:
        """Handle a reset of the connection before the answer's end."""


@dataclass(kw_only=True, slots=True)
class AcceptedOffer:
    """Offer that an agent has queued or dispatched."""

    job: Job
    offer: Offer
    owner: OfferOwner
    dispatched_s: float | None = None


class Agent:
    """Agent without a queue, which passes each offer to its engine at once.

    offers holds the requests in progress by request id.
    """

    def __init__(
        self,
        clock: VirtualClock,
        server: BackendServer,
        speed: EngineSpeed,
        trace: list[TraceEvent],
    ) -> None:
        self.clock = clock
        self.server = server
        self.engine = Engine(clock, speed, self)
        self.trace = trace
        self.is_crashed = False
        self.offers: dict[str, AcceptedOffer] = {}

    def offer(self, job: Job, offer: Offer, owner: OfferOwner) -> None:
        """Accept an offer."""
        item = AcceptedOffer(job=job, offer=offer, owner=owner)
        self.offers[offer.request_id] = item
        self.dispatch(item)

    def dispatch(self, item: AcceptedOffer) -> None:
        """Hand a request to the engine."""
        item.dispatched_s = self.clock.now_s
        self.record(TraceKind.DISPATCHED, item.job)
        self.engine.submit(item.job)

    def crash(self) -> None:
        """Stop the engine and drop all requests."""
        self.is_crashed = True
        self.engine.stop()
        for item in self.offers.values():
            item.job.is_lost = True
            item.owner.on_broken(item.job, self)
        self.offers.clear()

    def report(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(
            backend_server=self.server.name,
            incarnation="1",
            version=self.server.version,
            running=self.engine.running + len(self.engine.waiting),
        )

    def record(self, kind: TraceKind, job: Job) -> None:
        """Add an event to the trace."""
        self.trace.append(
            TraceEvent(self.clock.now_s, kind, job.request_id, job.tier, POOL)
        )

    def on_first_token(self, job: Job) -> None:
        """Forward the first token to the gateway."""
        self.offers[job.request_id].owner.on_first_token(job, self)

    def on_finish(self, job: Job) -> None:
        """Forward the end of an answer to the gateway."""
        self.offers.pop(job.request_id).owner.on_finish(job, self)


class QueueingAgent(Agent):
    """Agent with azurewick's tier queue, admission floor and limits.

    running holds the dispatched requests and prefilling those of them
    without a first token.
    """

    def __init__(
        self,
        clock: VirtualClock,
        server: BackendServer,
        speed: EngineSpeed,
        trace: list[TraceEvent],
    ) -> None:
        super().__init__(clock, server, speed, trace)
        self.queue = TierQueue()
        self.floor = AdmissionFloor()
        self.floor.record_contact(clock.now_s)
        self.batch_limit = BatchLimit(initial=16, maximum=speed.max_batch)
        self.dispatch_window = DispatchWindow()
        self.rates = ServerRateEstimator()
        self.running: dict[str, AcceptedOffer] = {}
        self.prefilling: dict[str, AcceptedOffer] = {}
        self._last_first_token_s = 0.0
        self._tick_start_steps = 0.0
        clock.call_later(TICK_S, self._tick)

    def offer(self, job: Job, offer: Offer, owner: OfferOwner) -> None:
        """Queue an offer or refuse it."""
        now_s = self.clock.now_s
        if offer.tier > self.floor.current(now_s):
            owner.on_refused(job, self, ErrorCode.DISPLACED)
            return
        decision = self.queue.offer(
            self._build_item(job, offer), now_s, self._prefill_left_s()
        )
        if not decision.accepted:
            owner.on_refused(
                job, self, decision.reason or ErrorCode.OVERLOADED
            )
            return
        self.offers[offer.request_id] = AcceptedOffer(
            job=job, offer=offer, owner=owner
        )
        self.record(TraceKind.QUEUED, job)
        self._refuse(decision.displaced, ErrorCode.DISPLACED)
        self.dispatch_queued()

    def set_floor(self, tier: int, duration_s: float) -> None:
        """Set the admission floor and displace queued requests below it."""
        self.floor.set_floor(tier, duration_s, self.clock.now_s)
        self._refuse(self.queue.displace_below(tier), ErrorCode.DISPLACED)

    def dispatch_queued(self) -> None:
        """Dispatch queued requests while the dispatch window is open."""
        now_s = self.clock.now_s
        floor = self.floor.current(now_s)
        while self.dispatch_window.is_open(
            len(self.running), len(self.prefilling), self.batch_limit.limit
        ):
            limit = self.batch_limit.limit
            lowest_dispatchable_tier = (
                self.dispatch_window.lowest_dispatchable_tier(
                    len(self.running), limit, floor
                )
            )
            decision = self.queue.take(lowest_dispatchable_tier, now_s)
            self._refuse(decision.expired, ErrorCode.TARGET_UNREACHABLE)
            if decision.item is None:
                return
            item = self.offers[decision.item.request_id]
            self.running[decision.item.request_id] = item
            self.prefilling[decision.item.request_id] = item
            self.dispatch(item)

    def crash(self) -> None:
        """Stop the engine and drop all requests."""
        super().crash()
        self.running.clear()
        self.prefilling.clear()

    def report(self) -> LoadReport:
        """Return the present load."""
        limit = self.batch_limit.limit
        return LoadReport(
            backend_server=self.server.name,
            incarnation="1",
            version=self.server.version,
            running=len(self.running),
            queued=len(self.queue),
            queued_work_s=self.queue.work_s + self._prefill_left_s(),
            batch_limit=limit,
            prefill_tokens_per_s=self.rates.prefill_tokens_per_s,
            decode_tokens_per_s=self.rates.decode_tokens_per_s(limit),
            floor_tier=self.floor.current(self.clock.now_s),
        )

    def on_first_token(self, job: Job) -> None:
        """Update the prefill rate and forward the first token."""
        now_s = self.clock.now_s
        item = self.prefilling.pop(job.request_id)
        started_s = max(item.dispatched_s or 0.0, self._last_first_token_s)
        self._last_first_token_s = now_s
        self.rates.record_prefill(job.computed_tokens, now_s - started_s)
        super().on_first_token(job)
        self.dispatch_queued()

    def on_finish(self, job: Job) -> None:
        """Free the request's place in the batch and forward the end."""
        self.running.pop(job.request_id)
        super().on_finish(job)
        self.dispatch_queued()

    def _build_item(self, job: Job, offer: Offer) -> QueuedRequest:
        limit = self.batch_limit.limit
        target = job.class_load.request_class.target
        tokens = max(1, offer.prompt_tokens - offer.expected_cached_tokens)
        prefill_s = tokens / self.rates.prefill_tokens_per_s
        target_s = prefill_s
        if target.first_token_s is None:
            target_s += offer.expected_output_tokens * (
                self.rates.inter_token_s(limit)
            )
        deadline_s = None
        if offer.budget_s is not None:
            deadline_s = self.clock.now_s + offer.budget_s
        return QueuedRequest(
            request_id=offer.request_id,
            customer=offer.customer,
            request_class=offer.request_class,
            tier=offer.tier,
            deadline_s=deadline_s,
            time_to_target_s=target_s,
            cost_s=self.rates.service_s(
                tokens, offer.expected_output_tokens, limit
            ),
        )

    def _prefill_left_s(self) -> float:
        """Return the expected remaining time of the engine's prefills."""
        left_s = 0.0
        for item in self.prefilling.values():
            tokens = item.offer.prompt_tokens - (
                item.offer.expected_cached_tokens
            )
            left_s += remaining_prefill_s(
                tokens / self.rates.prefill_tokens_per_s,
                self.clock.now_s - (item.dispatched_s or 0.0),
            )
        return left_s

    def _refuse(
        self,
        items: list[QueuedRequest] | tuple[QueuedRequest, ...],
        reason: ErrorCode,
    ) -> None:
        for queued in items:
            item = self.offers.pop(queued.request_id)
            item.owner.on_refused(item.job, self, reason)

    def _tick(self) -> None:
        if self.is_crashed:
            return
        self.clock.call_later(TICK_S, self._tick)
        now_s = self.clock.now_s
        self.engine.advance()
        decoding = len(self.running) - len(self.prefilling)
        steps = self.engine.decode_steps - self._tick_start_steps
        self._tick_start_steps = self.engine.decode_steps
        if decoding > 0 and steps > 0.0:
            inter_token_s = TICK_S / steps
            targets = [
                target
                for item in self.running.values()
                if (
                    target
                    := item.job.class_load.request_class.target.inter_token_s
                )
                is not None
            ]
            self.batch_limit.record_step(
                len(self.running),
                inter_token_s,
                min(targets, default=None),
                now_s,
            )
            self.rates.record_decode(decoding, inter_token_s, now_s)
        self.dispatch_queued()
