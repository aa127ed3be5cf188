"""Simulation of instances that ask brokers for slots, in virtual time.

The messages pass the production code's encoding; they have a delay and may be
lost. Instances can be killed and links cut.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from azurewick.entry.broker_election import BrokerElection
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import decode_message
from azurewick.entry.broker_messages import encode_message
from azurewick.entry.broker_messages import Message
from azurewick.entry.dispatcher import wait_budget_s
from azurewick.entry.peers import PeerReport
from azurewick.entry.pending_asks import GrantResult
from azurewick.entry.slot_grants import GroupTable
from azurewick.entry.slot_grants import SlotGrants
from tests.entry.sharing_model import Instance
from tests.entry.sharing_model import Request
from tests.entry.sharing_model import SharingModel

SERVICE = "models"


class Servers:
    """Servers of one service, all of one version."""

    def __init__(self, backends):
        self._backends = backends

    def of_service(self, service):
        return self._backends()

    def serving(self, service, *, on_new_version=False):
        return self._backends()


def build_grants(instance, regions, random, **changes) -> SlotGrants:
    """Return the slot grants of an instance with backends and peers."""
    election = BrokerElection(instance.name, regions["north"], instance.peers)
    election.own_share = 1.0
    servers = Servers(lambda: instance.backends)
    return SlotGrants(
        own_name=instance.name,
        groups=GroupTable(
            servers, servers, regions, regions["north"], election.region_of
        ),
        election=election,
        peers=instance.peers,
        placement=instance.placement,
        random=random,
        **{"incarnation": 1, **changes},
    )


class GrantsModel(SharingModel):
    """Simulates a load whose slots are granted by brokers."""

    def __init__(self, load, seed: int) -> None:
        self.sent: Counter[str] = Counter()
        self.results: Counter[str] = Counter()
        self.dead: set[str] = set()
        # Instances that reach only each other; empty without a partition.
        self.island: set[str] = set()
        # Requests at engines by the name of their instance.
        self.at_engines: Counter[str] = Counter()
        super().__init__(load, seed)
        names = {instance.name: "home" for instance in self._instances}
        for instance in self._instances:
            instance.grants.election.set_peers(names)

    def broker(self) -> str | None:
        """Return the broker as the first living instance sees it."""
        instance = next(i for i in self._instances if i.name not in self.dead)
        group = Group(SERVICE, "home", 0)
        return instance.grants.election.broker(group, self.now_s)

    def at(self, time_s: float, run) -> None:
        self._schedule(time_s, lambda now_s: run())

    def kill(self, name: str) -> None:
        """End a process; its peers notice by its silence."""
        self.dead.add(name)

    def lost_slots(self) -> int:
        """Return the slots that are counted without a request, or reverse.

        That is what the broker and what the living instances count.
        """
        broker = self.broker()
        lost = 0
        for instance in self._instances:
            if instance.name in self.dead:
                continue
            requests = self.at_engines[instance.name]
            held = sum(backend.in_flight for backend in instance.backends)
            lost += abs(held - requests)
            if instance.name == broker and instance.grants.broker.is_active:
                counts = instance.grants.broker.slot_shares(0.0).snapshot()
                others = self.at_engines.total() - requests
                lost += abs(sum(counts.values()) - others)
        return lost

    def _build_instance(self, index: int) -> Instance:
        instance = super()._build_instance(index)
        instance.grants = build_grants(
            instance,
            {"north": "home"},
            self._random,
            send=lambda target, message: self._send_message(
                instance.name, target, message
            ),
            call_later=lambda delay_s, run: self._schedule(
                self.now_s + delay_s,
                lambda now_s: instance.name in self.dead or run(),
            ),
            clock=lambda: self.now_s,
            count=lambda outcome: self.results.update((outcome,)),
        )
        build_report = instance.build_report
        instance.build_report = lambda now_s: replace(
            build_report(now_s), processor_share=1.0
        )
        return instance

    def _transmit(self, sender: str, target: str, receive) -> None:
        is_cut = (sender in self.island) is not (target in self.island)
        if sender in self.dead or target in self.dead or is_cut:
            return
        super()._transmit(
            sender,
            target,
            lambda now_s: target in self.dead or receive(now_s),
        )

    def _send_message(self, sender: str, target: str, message: Message):
        data = encode_message(message, sender, self.now_s)
        self.sent[type(message).__name__] += 1
        grants = self._instances[int(target[1:])].grants

        def receive(now_s: float) -> None:
            grants.handle(*decode_message(data, target, now_s), now_s)

        self._transmit(sender, target, receive)

    def _receive_report(self, index, report: PeerReport, now_s: float) -> None:
        instance = self._instances[index]
        if instance.peers.record_report(report, now_s) is not None:
            instance.grants.record_report(report, now_s)
        self._assign_slots(index, now_s)

    def _arrive(self, index: int, request: Request, now_s: float) -> None:
        instance = self._instances[index]
        if instance.name in self.dead:
            self._refuse(request, now_s)
            return
        demand = request.demand
        grants = instance.grants
        groups = grants.groups_to_ask(SERVICE, demand)
        if not groups:
            super()._arrive(index, request, now_s)
            return
        budget_s = wait_budget_s(demand, now_s)
        instance.peers.demand.add(demand.work.total_s, now_s)
        ended = []

        def end(result: GrantResult) -> None:
            assert not ended, "a request ended twice"
            ended.append(result)
            if result.backend is not None:
                self._send_to_engine(
                    index, result.backend, request, self.now_s
                )
            elif result.refused_wait_s is not None:
                self._refuse(request, self.now_s)
            else:
                left_s = budget_s - (self.now_s - now_s)
                self._wait(index, request, left_s, self.now_s)

        pending = grants.ask(demand, groups, budget_s, end, now_s)

        def expire(at_s: float) -> None:
            if not ended and instance.name not in self.dead:
                pending.withdraw()
                ended.append(None)
                self._refuse(request, at_s)

        self._schedule(now_s + budget_s, expire)

    def _send_to_engine(self, index, backend, request, now_s: float) -> None:
        self.at_engines[self._instances[index].name] += 1
        super()._send_to_engine(index, backend, request, now_s)

    def _release(self, index: int, backend) -> None:
        self.at_engines[self._instances[index].name] -= 1
        backend.in_flight -= 1
        instance = self._instances[index]
        if instance.name not in self.dead:
            instance.grants.client.release(backend, self.now_s)
            self._assign_slots(index, self.now_s)
