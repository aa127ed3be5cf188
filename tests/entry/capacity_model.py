"""Simulation of servers with limits of capacity, in virtual time.

Instances place requests by the production code on the reports of their peers.
Servers run a batch, slow down by their own load curve and queue the rest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_baselines import DelayCapacity
from azurewick.entry.capacity_baselines import UnlimitedCapacity
from azurewick.entry.capacity_policy import AnnouncedCapacity
from azurewick.entry.capacity_policy import CapacityPolicy
from azurewick.entry.exchange import MAX_REJECTIONS
from azurewick.entry.learned_capacity import LearnedCapacity
from azurewick.entry.peers import PeerReport
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers

TICK_S = 0.01
TARGET_S = 0.6
FIRST_S = 0.08
# Share of the requests that may be retried.
RETRY_RATIO = 0.14


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Servers and load; factors multiply the times of a server's requests.

    crowding takes the share of the slots that run, and pace the number of the
    server and the time.
    """

    instances: int = 5
    servers: int = 6
    slots: int = 12
    is_engine: bool = True
    load: float = 0.8
    run_s: float = 1.2
    speeds: tuple[float, ...] = (1.0,)
    crowding: Callable[[float], float] = lambda share: 1.0
    pace: Callable[[int, float], float] = lambda index, now_s: 1.0
    capacity_share: float = 1.0
    long_prompt_share: float = 0.0
    work_sigma: float = 0.3
    max_queue: int = 1000
    duration_s: float = 45.0


@dataclass(eq=False)
class Run:
    """Request at a server; the times are work that is left."""

    arrived_s: float
    sent_s: float
    first_s: float
    total_s: float
    nominal_s: float
    load: float
    instance: Instance
    first_noise: float
    first_at_s: float | None = None


@dataclass
class Server:
    """Server with its running requests and its queue."""

    index: int
    speed: float
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)


class Instance:
    """Instance with its view of the peers and its queue."""

    def __init__(self, index: int, scenario: Scenario, policy: str, seed: int):
        names = [f"e{number}" for number in range(scenario.instances)]
        self.name = names[index]
        self.peers = build_peers(self.name, *names)
        random = Random(seed * 1000 + index)
        self.capacity: CapacityPolicy = {
            "announced": AnnouncedCapacity,
            "delay": DelayCapacity,
            "none": UnlimitedCapacity,
            "learned": lambda: LearnedCapacity(
                self.name, lambda: self.peers.members
            ),
        }[policy]()
        self.placement = LeastLoadPlacement(
            failure_domain="north",
            regions={"north": "home"},
            random=random,
            peers=self.peers,
            capacity=self.capacity,
        )
        self.backends = {
            f"s{number}": Backend(
                entry=build_entry(
                    f"s{number}",
                    slots=scenario.slots,
                    is_engine=scenario.is_engine,
                )
            )
            for number in range(scenario.servers)
        }
        # Times of arrival, nominal and real work; servers that rejected it.
        self.queue: deque[tuple[float, float, float, frozenset[str]]] = deque()
        self.sequence = 0

    def load(self, backend: Backend, now_s: float) -> float:
        shares = self.peers.slot_shares(now_s)
        return backend.in_flight - shares.unused(0, backend.name)

    def record_first(self, name: str, run: Run, now_s: float) -> None:
        if isinstance(self.capacity, LearnedCapacity):
            self.capacity.record(
                self.backends[name],
                0.0,
                (now_s - run.sent_s) / FIRST_S * run.first_noise,
                now_s,
            )

    def record(self, name: str, run: Run, now_s: float) -> None:
        backend = self.backends[name]
        load = (run.load + self.load(backend, now_s)) / 2
        backend.in_flight -= 1
        took_s = now_s - run.sent_s
        backend.record_slowdown(took_s, run.nominal_s, now_s)
        if isinstance(self.capacity, LearnedCapacity | DelayCapacity):
            self.capacity.record(backend, load, took_s / run.nominal_s, now_s)


@dataclass(kw_only=True)
class Result:
    """What callers got."""

    arrived: int
    on_time: int
    first_s: list[float]
    completed_per_s: float
    limits: dict[str, list[int]]

    @property
    def on_time_share(self) -> float:
        return self.on_time / self.arrived

    @property
    def p95_first_s(self) -> float:
        return sorted(self.first_s)[int(0.95 * len(self.first_s))]


class CapacityModel:
    """Runs a scenario with a policy."""

    def __init__(self, scenario: Scenario, policy: str, seed: int = 1) -> None:
        self._scenario = scenario
        self._random = Random(seed)
        self._instances = [
            Instance(index, scenario, policy, seed)
            for index in range(scenario.instances)
        ]
        self._servers = {
            f"s{index}": Server(
                index, scenario.speeds[index % len(scenario.speeds)]
            )
            for index in range(scenario.servers)
        }
        self._completed = 0
        self._rejected = 0
        self.result = Result(
            arrived=0, on_time=0, first_s=[], completed_per_s=0.0, limits={}
        )

    def run(self) -> Result:
        scenario = self._scenario
        interval = 20 if scenario.instances <= 30 else 40
        capacity_per_s = sum(
            scenario.slots * scenario.capacity_share / server.speed
            for server in self._servers.values()
        ) / (scenario.run_s)
        for tick in range(1, round(scenario.duration_s / TICK_S)):
            now_s = tick * TICK_S
            arrivals = scenario.load * capacity_per_s * TICK_S
            while arrivals > 0:
                if self._random.random() < arrivals:
                    self._arrive(now_s)
                arrivals -= 1
            for name, server in self._servers.items():
                self._advance(name, server, now_s)
            for index, instance in enumerate(self._instances):
                if (tick + index) % interval == 0:
                    self._report(instance, tick // interval, now_s)
                if instance.queue and (tick + index) % 3 == 0:
                    self._dispatch(instance, now_s)
            if tick % 100 == 0:
                instance = self._instances[0]
                for name, backend in instance.backends.items():
                    limit = instance.capacity.limit(backend, now_s)
                    self.result.limits.setdefault(name, []).append(limit)
        self.result.completed_per_s = self._completed / scenario.duration_s
        return self.result

    def _arrive(self, now_s: float) -> None:
        random = self._random
        self.result.arrived += 1
        sigma = self._scenario.work_sigma
        nominal_s = self._scenario.run_s * random.lognormvariate(0, 0.5) / 1.13
        total_s = nominal_s * random.lognormvariate(0, sigma)
        if random.random() < self._scenario.long_prompt_share:
            nominal_s, total_s = nominal_s + 0.4, total_s + 0.4
        random.choice(self._instances).queue.append(
            (now_s, nominal_s, total_s, frozenset())
        )

    def _dispatch(self, instance: Instance, now_s: float) -> None:
        backends = list(instance.backends.values())
        while instance.queue:
            arrived_s, nominal_s, total_s, tried = instance.queue[0]
            may_retry = not tried or self._try_retry(len(tried))
            if now_s - arrived_s > TARGET_S or not may_retry:
                self.result.first_s.append(2 * TARGET_S)
                instance.queue.popleft()
                continue
            demand = build_demand(
                target_s=arrived_s + TARGET_S,
                deadline_at_s=arrived_s + 15.0,
                work=WorkEstimate(first_token_s=FIRST_S, total_s=nominal_s),
                excluded=tried,
            )
            backend = instance.placement.choose(backends, demand, now_s)
            if backend is None:
                return
            server = self._servers[backend.name]
            if len(server.queue) >= self._scenario.max_queue:
                self._rejected += 1
                instance.queue[0] = (
                    arrived_s,
                    nominal_s,
                    total_s,
                    tried | {backend.name},
                )
                return
            instance.queue.popleft()
            backend.in_flight += 1
            is_engine = self._scenario.is_engine
            server.queue.append(
                Run(
                    arrived_s=arrived_s,
                    sent_s=now_s,
                    first_s=FIRST_S if is_engine else total_s,
                    total_s=total_s,
                    nominal_s=nominal_s,
                    load=instance.load(backend, now_s),
                    instance=instance,
                    first_noise=self._random.lognormvariate(0, 0.4),
                )
            )

    def _try_retry(self, rejections: int) -> bool:
        budget = RETRY_RATIO * self.result.arrived
        return rejections <= MAX_REJECTIONS and self._rejected <= budget

    def _advance(self, name: str, server: Server, now_s: float) -> None:
        scenario = self._scenario
        slots = scenario.slots
        while server.queue and len(server.running) < slots:
            server.running.append(server.queue.popleft())
        factor = (
            server.speed
            * scenario.crowding(len(server.running) / slots)
            * scenario.pace(server.index, now_s)
        )
        if any(run.nominal_s > 3 for run in server.running):
            factor *= 1.0 + scenario.long_prompt_share * 5
        left: list[Run] = []
        for run in server.running:
            run.first_s -= TICK_S / factor
            run.total_s -= TICK_S / factor
            if run.first_s <= 0 and run.first_at_s is None:
                run.first_at_s = now_s
                first_s = now_s - run.arrived_s
                self.result.first_s.append(first_s)
                self.result.on_time += first_s <= TARGET_S
                if scenario.is_engine and run.load <= slots:
                    run.instance.record_first(name, run, now_s)
            if run.total_s > 0:
                left.append(run)
            else:
                self._completed += 1
                run.instance.record(name, run, now_s)
        server.running = left

    def _report(self, sender: Instance, round_: int, now_s: float) -> None:
        sender.sequence += 1
        capacity = sender.capacity
        shared = None
        if isinstance(capacity, LearnedCapacity) and round_ % 2 == 0:
            shared = capacity.report(now_s)
        report = PeerReport(
            name=sender.name,
            incarnation=1,
            sequence=sender.sequence,
            in_flight={
                name: backend.in_flight
                for name, backend in sender.backends.items()
                if backend.in_flight
            },
            speeds={
                name: backend.speeds.sample(now_s)
                for name, backend in sender.backends.items()
            },
        )
        for instance in self._instances:
            if instance is sender:
                continue
            instance.peers.record_report(report, now_s)
            if shared and isinstance(instance.capacity, LearnedCapacity):
                instance.capacity.record_peer(
                    sender.name, 1, shared, instance.backends.get, now_s
                )
