"""Model in virtual time of instances in front of cold servers."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from azurewick.entry.backends import Backend
from azurewick.entry.cold_budget import ColdShares
from azurewick.entry.cold_budget import ColdTolerance
from azurewick.entry.cold_servers import ColdServers
from azurewick.entry.models import BackendEntry
from azurewick.entry.models import Service
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from tests.entry.builders import build_entry

COLD_PER_S = 15.0
COLD_S = 3.0
# 1.5 times the rate and 5 more, as in the platform's settings.
BOUND = 27.5
SERVICE = Service(name="models", cold_s=COLD_S, cold_per_s=COLD_PER_S)
REPORT_S = 0.4
DELAY_S = 0.05
ANSWER_S = 0.3
STALE_S = 3.0


class ModelInstance:
    """Instance with its own view of the others and of the servers."""

    def __init__(self, model: ColdModel, name: str, start_s: float):
        self.name = name
        self.model = model
        self.start_s = start_s
        self.registered_s: float | None = None
        self.peers = PeerView(name)
        self.cold = ColdServers(
            ColdShares(name),
            tolerance=ColdTolerance(overage=1.5, allowance=5.0),
            peers=self.peers,
            find_service=lambda _: SERVICE,
        )
        self.cold.on_news.append(self.report)
        self.sequence = 0

    def settle(self, names: list[str]) -> None:
        """Begin as an instance that has known the others for long."""
        self.registered_s = -60.0
        self.peers.set_members(names)
        for name in names:
            self.peers.record_report(build_report(name, 0), 0.0)
        self.cold.refresh(self.registered_s, 0.0)

    def read_directory(self) -> None:
        model = self.model
        seen_s = model.now_s - model.random.uniform(0.0, STALE_S)
        seen = [
            name
            for name, other in model.instances.items()
            if other.start_s <= seen_s
        ]
        if self.registered_s is None and self.name in seen:
            self.registered_s = model.now_s
        self.peers.set_members(seen)
        model.after(3.0 * model.random.uniform(0.8, 1.2), self.read_directory)

    def report_often(self) -> None:
        self.report()
        self.model.after(REPORT_S, self.report_often)

    def report(self) -> None:
        model = self.model
        self.cold.refresh(self.registered_s, model.now_s)
        self.sequence += 1
        report = build_report(
            self.name,
            self.sequence,
            restarts=tuple(self.cold.claims(model.now_s)),
        )
        for other in list(model.instances.values()):
            if other is not self and model.is_linked(self.name, other.name):
                model.after(DELAY_S, lambda to=other: to.receive(report))

    def receive(self, report: PeerReport) -> None:
        now_s = self.model.now_s
        if self.peers.record_report(report, now_s) is not None:
            self.cold.record_claims(report.restarts, now_s)

    def try_send(self, entry: BackendEntry) -> bool:
        """Send a request if the placement and the check allow it."""
        now_s = self.model.now_s
        return bool(
            self.cold.usable_slots(Backend(entry=entry), 12, now_s)
        ) and self.cold.try_send(entry, now_s)


def build_report(name: str, sequence: int, **changes) -> PeerReport:
    return PeerReport(name=name, incarnation=1, sequence=sequence, **changes)


class ColdModel:
    """Instances, servers, and the times of the requests they were sent.

    down holds the times between which servers refuse connections.
    """

    def __init__(self, instance_count: int, servers: int = 1, seed: int = 1):
        self.random = Random(seed)
        self.now_s = 0.0
        self.is_linked: Callable[[str, str], bool] = lambda _a, _b: True
        self.entries = [build_entry(f"s{index}") for index in range(servers)]
        self.received: dict[str, list[float]] = {}
        self.down: dict[str, tuple[float, float]] = {}
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        names = [f"e{index}" for index in range(instance_count)]
        self.instances = {
            name: ModelInstance(self, name, 0.0) for name in names
        }
        for instance in self.instances.values():
            instance.settle(names)
            instance.cold.update_servers(self.entries, 0.0)
            self.after(self.random.random() * REPORT_S, instance.report_often)

    def restart_instance(self, name: str, start_s: float) -> None:
        """Start an instance anew, which knows nothing of the others."""
        instance = ModelInstance(self, name, start_s)
        self.instances[name] = instance
        instance.cold.update_servers(self.entries, start_s)
        instance.read_directory()
        instance.report_often()

    def restart_all(self, within_s: float) -> None:
        """Stop all instances, and start them anew within some time."""
        names = list(self.instances)
        self.instances.clear()
        for name in names:
            self.after(
                self.random.uniform(0.0, within_s),
                lambda name=name: self.restart_instance(name, self.now_s),
            )

    def after(self, wait_s: float, function: Callable[[], None]) -> None:
        event = (self.now_s + wait_s, next(self._numbers), function)
        heappush(self._events, event)

    def offer(self, per_s: float) -> None:
        """Let callers send requests at random times, for all the run."""
        self.after(self.random.expovariate(per_s), lambda: self.offer(per_s))
        instance = self.random.choice(list(self.instances.values()))
        self.random.shuffle(self.entries)
        for entry in self.entries:
            if instance.try_send(entry):
                self.deliver(instance, entry)
                return

    def deliver(self, instance: ModelInstance, entry: BackendEntry) -> None:
        sent_s = self.now_s
        down_s, up_s = self.down.get(entry.name, (-1.0, -1.0))
        if down_s <= sent_s < up_s:
            instance.cold.record_failure(entry, sent_s)
            return
        self.received.setdefault(entry.name, []).append(sent_s)
        if sent_s < down_s <= sent_s + ANSWER_S:
            self.after(
                down_s - sent_s,
                lambda: instance.cold.record_failure(entry, self.now_s),
            )
            return
        self.after(
            ANSWER_S,
            lambda: instance.cold.record_success(entry, sent_s, self.now_s),
        )

    def run(self, until_s: float) -> None:
        while self._events[0][0] < until_s:
            self.now_s, _, function = heappop(self._events)
            function()

    def largest_second(
        self, server: str, from_s: float = 0.0, until_s: float = 1e9
    ) -> int:
        """Return the largest number of requests in any sliding second."""
        times = [
            time_s
            for time_s in self.received.get(server, [])
            if from_s <= time_s < until_s
        ]
        return max(
            (
                sum(0.0 <= other - time_s < 1.0 for other in times)
                for time_s in times
            ),
            default=0,
        )
