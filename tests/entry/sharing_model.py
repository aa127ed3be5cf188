"""Simulation of entry instances that share engines, in virtual time.

The instances run the production code for queueing, placement and shares, on
the last reports of their peers. Engines run requests in the order of arrival.
Callers that are refused retry once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import heapq
from itertools import count
from random import Random

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import wait_budget_s
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers

# Share of its value that an answer after its target earns.
LATE_VALUE_FACTOR = 0.3
# Share of its value that a request costs when it is refused twice.
SECOND_REFUSAL_PENALTY = 0.3


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """Kind of request: share of the arrivals, value and times.

    target_s is the time to the first token that the caller wants.
    """

    name: str
    arrival_share: float
    tier: int
    value: float
    target_s: float
    first_token_s: float
    run_s: float
    caller_timeout_s: float


REQUEST_KINDS = (
    RequestKind(
        name="draft",
        arrival_share=0.23,
        tier=0,
        value=7.5,
        target_s=0.85,
        first_token_s=0.11,
        run_s=1.7,
        caller_timeout_s=15.0,
    ),
    RequestKind(
        name="answer",
        arrival_share=0.32,
        tier=1,
        value=2.1,
        target_s=0.52,
        first_token_s=0.07,
        run_s=1.2,
        caller_timeout_s=12.0,
    ),
    RequestKind(
        name="tag",
        arrival_share=0.45,
        tier=2,
        value=0.3,
        target_s=0.52,
        first_token_s=0.08,
        run_s=0.17,
        caller_timeout_s=3.0,
    ),
)


@dataclass(frozen=True, kw_only=True)
class Load:
    """Simulated load.

    load_factor is the work asked for as a fraction of the engines' capacity.
    The shares of the instances in the arrivals have random weights between
    1 - arrival_spread and 1 + arrival_spread.
    """

    instances: int
    engines: int
    slots: int = 11
    load_factor: float = 1.8
    arrival_spread: float = 0.5
    report_interval_s: float = 0.2
    reports_start_s: float = 0.0
    duration_s: float = 12.0
    # Bounds of the delay of a datagram, and the share that is lost.
    min_delay_s: float = 0.0
    max_delay_s: float = 0.0
    loss: float = 0.0


@dataclass(eq=False)
class Request:
    """Request of one caller; sent_s is when it was sent to an engine."""

    kind: RequestKind
    demand: Demand
    sent_s: float


@dataclass
class Engine:
    """Engine, with its running requests and those in its queue."""

    slots: int
    slowdown: float
    running: int = 0
    waiting: deque[tuple[int, Request]] = field(default_factory=deque)
    crowded_since_s: float = 0.0


@dataclass
class Outcome:
    """Result of a run.

    offered_value is the value of all requests, and earned_value that of the
    answers less the penalties of requests that were refused twice.
    crowded_s is the time in which engines held more requests than slots,
    summed up over the engines.
    """

    earned_value: float = 0.0
    offered_value: float = 0.0
    late: int = 0
    served: int = 0
    refused: int = 0
    refused_again: int = 0
    crowded_s: float = 0.0
    engine_waits_s: list[float] = field(default_factory=list)
    served_by_instance: dict[int, int] = field(default_factory=dict)
    arrivals_by_instance: dict[int, int] = field(default_factory=dict)

    @property
    def earned_share(self) -> float:
        """Return the earned share of the offered value."""
        return self.earned_value / self.offered_value


class Instance:
    """Entry instance with its view of the peers, its queue and placement."""

    def __init__(self, index: int, load: Load, random: Random) -> None:
        names = [f"e{number}" for number in range(load.instances)]
        self.peers: PeerView = build_peers(names[index], *names)
        self.name = names[index]
        self.queue: RequestQueue[Request] = RequestQueue()
        self.rates = ArrivalRates()
        self.sequence = 0
        self.placement = LeastLoadPlacement(
            failure_domain="north",
            regions={"north": "home"},
            peers=self.peers,
            random=random,
        )
        self.backends: list[Backend] = []

    def build_report(self, now_s: float) -> PeerReport:
        """Return the report that this instance sends to the others."""
        self.sequence += 1
        return PeerReport(
            name=self.name,
            incarnation=1,
            sequence=self.sequence,
            work_per_s=self.peers.demand.per_s(now_s),
            in_flight={
                backend.name: backend.in_flight
                for backend in self.backends
                if backend.in_flight
            },
        )


class SharingModel:
    """Simulates a load."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._events: list[tuple[float, int, object]] = []
        self._sequence = count()
        self.now_s = 0.0
        self.outcome = Outcome()
        speeds = (0.6, 1.0, 2.0)
        self._engines = [
            Engine(slots=load.slots, slowdown=speeds[index % len(speeds)])
            for index in range(load.engines)
        ]
        self._instances = [
            self._build_instance(index) for index in range(load.instances)
        ]
        for instance in self._instances:
            instance.backends = [
                Backend(
                    entry=build_entry(f"s{index}", slots=load.slots),
                    slowdown=engine.slowdown,
                )
                for index, engine in enumerate(self._engines)
            ]

    def run(self) -> Outcome:
        """Simulate the whole load and return its outcome."""
        self._plan_arrivals()
        for instance in self._instances:
            first_s = (
                self._load.reports_start_s
                + self._random.random() * self._load.report_interval_s
            )
            self._schedule(
                first_s,
                lambda now_s, sender=instance: self._send_report(
                    sender, now_s
                ),
            )
        end_s = self._load.duration_s + 20.0
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, run = heapq.heappop(self._events)
            run(self.now_s)
        return self.outcome

    def _build_instance(self, index: int) -> Instance:
        return Instance(index, self._load, self._random)

    def _schedule(self, time_s, run) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), run))

    def _plan_arrivals(self) -> None:
        load = self._load
        mean_run_s = sum(
            kind.arrival_share * kind.run_s for kind in REQUEST_KINDS
        )
        capacity = sum(
            engine.slots / engine.slowdown for engine in self._engines
        )
        arrivals_per_s = load.load_factor * capacity / mean_run_s
        weights = [
            self._random.uniform(
                1 - load.arrival_spread, 1 + load.arrival_spread
            )
            for _ in self._instances
        ]
        now_s = 1.0
        while now_s < load.duration_s:
            now_s += self._random.expovariate(arrivals_per_s)
            index = self._random.choices(range(load.instances), weights)[0]
            kind = self._random.choices(
                REQUEST_KINDS, [kind.arrival_share for kind in REQUEST_KINDS]
            )[0]
            run_s = kind.run_s * self._random.lognormvariate(-0.18, 0.6)
            demand = Demand(
                rank=(0, kind.tier),
                work=WorkEstimate(
                    first_token_s=kind.first_token_s,
                    total_s=kind.first_token_s + run_s,
                ),
                target_s=now_s + kind.target_s,
                deadline_at_s=now_s + kind.caller_timeout_s,
            )
            request = Request(kind, demand, now_s)
            self.outcome.offered_value += kind.value
            arrivals = self.outcome.arrivals_by_instance
            arrivals[index] = arrivals.get(index, 0) + 1
            self._schedule(
                now_s,
                lambda at_s, index=index, request=request: self._arrive(
                    index, request, at_s
                ),
            )

    def _send_report(self, sender: Instance, now_s: float) -> None:
        report = sender.build_report(now_s)
        for index, instance in enumerate(self._instances):
            if instance is not sender:
                self._transmit(
                    sender.name,
                    instance.name,
                    lambda at_s, index=index: self._receive_report(
                        index, report, at_s
                    ),
                )
        self._schedule(
            now_s + self._load.report_interval_s,
            lambda at_s: self._send_report(sender, at_s),
        )

    def _transmit(self, sender: str, target: str, receive) -> None:
        """Pass a datagram on, at once without a delay."""
        load = self._load
        if load.loss and self._random.random() < load.loss:
            return
        if not load.max_delay_s:
            receive(self.now_s)
            return
        delay_s = self._random.uniform(load.min_delay_s, load.max_delay_s)
        self._schedule(self.now_s + delay_s, receive)

    def _receive_report(self, index, report: PeerReport, now_s: float) -> None:
        self._instances[index].peers.record_report(report, now_s)
        self._assign_slots(index, now_s)

    def _arrive(self, index: int, request: Request, now_s: float) -> None:
        instance = self._instances[index]
        demand = request.demand
        instance.peers.demand.add(demand.work.total_s, now_s)
        self._wait(index, request, wait_budget_s(demand, now_s), now_s)

    def _wait(
        self, index: int, request: Request, budget_s: float, now_s: float
    ) -> None:
        """Queue a request at its instance, or refuse it."""
        instance = self._instances[index]
        demand = request.demand
        urgency = demand.urgency(now_s)
        work_ahead_s = instance.queue.work_ahead_s(urgency)
        wait_s = predict_wait_s(
            work_ahead_s,
            instance.placement.capacity(instance.backends, now_s),
            instance.rates.more_urgent_per_s(urgency, now_s),
        )
        instance.rates.add(urgency, demand.work.total_s, now_s)
        if wait_s > budget_s:
            self._refuse(request, now_s)
            return
        waiter = Waiter(
            payload=request, demand=demand, urgency=urgency, arrived_s=now_s
        )
        instance.queue.add(waiter)
        self._schedule(
            now_s + budget_s,
            lambda at_s: self._expire(instance, waiter, at_s),
        )
        self._assign_slots(index, now_s)

    def _expire(self, instance, waiter, now_s: float) -> None:
        if waiter in instance.queue.in_order():
            instance.queue.remove(waiter)
            self._refuse(waiter.payload, now_s)

    def _refuse(self, request: Request, now_s: float) -> None:
        outcome = self.outcome
        if request.demand.is_caller_retry:
            outcome.refused_again += 1
            outcome.earned_value -= SECOND_REFUSAL_PENALTY * request.kind.value
            return
        outcome.refused += 1
        left_s = request.demand.deadline_at_s - now_s
        retry_s = now_s + left_s / 3 * self._random.uniform(0.5, 1.0)
        retry = replace(
            request, demand=replace(request.demand, is_caller_retry=True)
        )
        index = self._random.randrange(len(self._instances))
        self._schedule(retry_s, lambda at_s: self._arrive(index, retry, at_s))

    def _assign_slots(self, index: int, now_s: float) -> None:
        instance = self._instances[index]
        if not len(instance.queue):
            return
        for waiter in instance.queue.in_order():
            backend = instance.placement.choose(
                instance.backends, waiter.demand, now_s
            )
            if backend is None:
                return
            backend.in_flight += 1
            instance.queue.remove(waiter)
            self._send_to_engine(index, backend, waiter.payload, now_s)

    def _send_to_engine(
        self, index: int, backend: Backend, request: Request, now_s: float
    ) -> None:
        engine_index = int(backend.name[1:])
        engine = self._engines[engine_index]
        request = replace(request, sent_s=now_s)
        if engine.running < engine.slots:
            self._start(engine_index, index, request, now_s)
            return
        if not engine.waiting:
            engine.crowded_since_s = now_s
        engine.waiting.append((index, request))

    def _start(
        self, engine_index: int, index: int, request: Request, now_s: float
    ) -> None:
        engine = self._engines[engine_index]
        engine.running += 1
        outcome = self.outcome
        outcome.engine_waits_s.append(now_s - request.sent_s)
        work = request.demand.work
        on_time = (
            now_s + work.first_token_s * engine.slowdown
            <= request.demand.target_s
        )
        outcome.served += 1
        outcome.late += not on_time
        served = outcome.served_by_instance
        served[index] = served.get(index, 0) + 1
        outcome.earned_value += request.kind.value * (
            1.0 if on_time else LATE_VALUE_FACTOR
        )
        self._schedule(
            now_s + work.total_s * engine.slowdown,
            lambda at_s: self._end(engine_index, index, at_s),
        )

    def _end(self, engine_index: int, index: int, now_s: float) -> None:
        engine = self._engines[engine_index]
        engine.running -= 1
        if engine.waiting:
            owner_index, request = engine.waiting.popleft()
            self._start(engine_index, owner_index, request, now_s)
            if not engine.waiting:
                self.outcome.crowded_s += now_s - engine.crowded_since_s
        self._release(index, self._instances[index].backends[engine_index])

    def _release(self, index: int, backend: Backend) -> None:
        backend.in_flight -= 1
        self._assign_slots(index, self.now_s)
