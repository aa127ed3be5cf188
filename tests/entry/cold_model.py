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

SERVICE = Service(name="models", cold_s=3.0, cold_per_s=15.0)
TOLERANCE = ColdTolerance(overage=1.5, allowance=5.0)
BOUND = 15.0 * 1.5 + 5.0
REPORT_S = 0.4
DELAY_S = 0.05
ANSWER_S = 0.3
STALE_S = 3.0


def build_cold_servers(
    peers: PeerView,
    find_service: Callable[[str], Service | None] = lambda _: SERVICE,
) -> ColdServers:
    name = peers.members[peers.own_rank[0]]
    return ColdServers(
        ColdShares(name),
        tolerance=TOLERANCE,
        peers=peers,
        find_service=find_service,
    )


class ModelInstance:
    """Instance with its own view of the others and of the servers."""

    def __init__(self, model: ColdModel, name: str):
        self.name = name
        self.model = model
        self.started_s = model.now_s
        self.registered_s: float | None = None
        self.peers = PeerView(name)
        self.cold = build_cold_servers(self.peers)
        self.cold.on_news.append(self.report)
        self.sequence = 0
        self.cold.update_servers(model.entries, model.now_s)

    def settle(self, names: list[str]) -> None:
        """Begin as an instance that has known the others for long."""
        self.registered_s = -60.0
        self.peers.set_members(names)
        for name in names:
            report = PeerReport(name=name, incarnation=1, sequence=0)
            self.peers.record_report(report, 0.0)
        self.cold.refresh(self.registered_s, 0.0)

    def read_directory(self) -> None:
        model = self.model
        seen_s = model.now_s - model.random.uniform(0.0, STALE_S)
        others = model.instances.values()
        seen = [other.name for other in others if other.started_s <= seen_s]
        if self.registered_s is None and self.name in seen:
            self.registered_s = model.now_s
        self.peers.set_members(seen)
        model.after(3.0 * model.random.uniform(0.8, 1.2), self.read_directory)

    def report_often(self) -> None:
        if self.model.instances.get(self.name) is self:
            self.report()
            self.model.after(REPORT_S, self.report_often)

    def report(self) -> None:
        model = self.model
        self.cold.refresh(self.registered_s, model.now_s)
        self.sequence += 1
        report = PeerReport(
            name=self.name,
            incarnation=1,
            sequence=self.sequence,
            restarts=tuple(self.cold.claims(model.now_s)),
        )
        for other in model.instances.values():
            if model.is_linked(self.name, other.name):
                model.after(DELAY_S, lambda to=other: to.receive(report))

    def receive(self, report: PeerReport) -> None:
        now_s = self.model.now_s
        if self.peers.record_report(report, now_s) is not None:
            self.cold.record_claims(report.restarts, now_s)

    def end_evacuation(self) -> None:
        """Learn that the domain may be used, and send all that is allowed."""
        self.cold.end_evacuation("north", self.model.now_s)
        self.send_often()

    def send_often(self) -> None:
        for entry in self.model.entries:
            self.try_send(entry)
        self.model.after(0.02, self.send_often)

    def try_send(self, entry: BackendEntry) -> bool:
        """Send a request if the placement and the check allow it."""
        model, now_s = self.model, self.model.now_s
        if not self.cold.usable_slots(Backend(entry=entry), 12, now_s):
            return False
        down_s, up_s = model.down.get(entry.name, (-1.0, -1.0))
        if down_s <= now_s < up_s:
            self.cold.record_failure(entry, now_s)
        elif self.cold.try_send(entry, now_s):
            model.received.setdefault(entry.name, []).append(now_s)
            is_lost = now_s < down_s <= now_s + ANSWER_S
            model.after(
                down_s - now_s if is_lost else ANSWER_S,
                lambda: self.end(entry, now_s, is_lost=is_lost),
            )
        return True

    def end(self, entry: BackendEntry, sent_s: float, *, is_lost: bool):
        if is_lost:
            self.cold.record_failure(entry, self.model.now_s)
        else:
            self.cold.record_success(entry, sent_s, self.model.now_s)


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
        self.instances = {name: ModelInstance(self, name) for name in names}
        for instance in self.instances.values():
            instance.settle(names)
            self.after(self.random.random() * REPORT_S, instance.report_often)

    def restart_all(self, within_s: float) -> None:
        """Stop all instances, and start them anew within some time."""
        names, self.instances = list(self.instances), {}
        for name in names:
            wait_s = self.random.uniform(0.0, within_s)
            self.after(wait_s, lambda name=name: self.start_instance(name))

    def start_instance(self, name: str) -> None:
        instance = self.instances[name] = ModelInstance(self, name)
        instance.cold.end_evacuation("north", self.now_s)
        instance.read_directory()
        instance.report_often()

    def keep_cold(self) -> None:
        for instance in self.instances.values():
            instance.cold.end_evacuation("north", self.now_s)
        self.after(0.5, self.keep_cold)

    def after(self, wait_s: float, function: Callable[[], None]) -> None:
        event = (self.now_s + wait_s, next(self._numbers), function)
        heappush(self._events, event)

    def offer(self, per_s: float) -> None:
        """Let callers send requests at random times, for all the run."""
        self.after(self.random.expovariate(per_s), lambda: self.offer(per_s))
        if self.instances:
            instance = self.random.choice(list(self.instances.values()))
            any(map(instance.try_send, self.entries))

    def run(self, until_s: float) -> None:
        while self._events[0][0] < until_s:
            self.now_s, _, function = heappop(self._events)
            function()
