"""Slot grants of one instance: election, broker part and asker part."""

from __future__ import annotations

from asyncio import get_running_loop
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random
from typing import Protocol
from zlib import crc32

from azurewick.entry.backends import Backend
from azurewick.entry.broker_client import BrokerClient
from azurewick.entry.broker_election import BrokerElection
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_election import split_groups
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import Message
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import Refusal
from azurewick.entry.fleet_counts import FleetCounts
from azurewick.entry.home_regions import select_servers
from azurewick.entry.peers import PeerReport
from azurewick.entry.peers import PeerView
from azurewick.entry.pending_asks import GrantResult
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.placement import MIN_SHARED_TOKENS
from azurewick.entry.request_queue import Demand
from azurewick.entry.settings import EntrySettings
from azurewick.entry.slot_broker import SlotBroker
from azurewick.entry.slot_broker import SWEEP_INTERVAL_S
from azurewick.entry.spillover import SpilloverAsk
from azurewick.entry.state import FleetState
from azurewick.entry.version_moves import VersionMoves


class Servers(Protocol):
    """Backend servers by service."""

    def of_service(self, service: str) -> list[Backend]:
        """Return the servers of a service."""


class Moves(Protocol):
    """Servers by service and version."""

    def serving(
        self, service: str, *, on_new_version: bool = False
    ) -> list[Backend]:
        """Return the servers of a service that may get a request."""


class GroupTable:
    """Groups of the engines as this instance knows them."""

    def __init__(
        self,
        servers: Servers,
        moves: Moves,
        regions: Mapping[str, str],
        own_region: str,
        region_of: Callable[[str], str],
        withheld: Callable[[float], frozenset[str]] = lambda _: frozenset(),
    ) -> None:
        self.withheld = withheld
        self._servers = servers
        self._moves = moves
        self._regions = regions
        self._own_region = own_region
        self._region_of = region_of
        self._groups: dict[str, dict[Group, frozenset[str]]] = {}

    def clear(self) -> None:
        """Split the engines anew; call it when the servers change."""
        self._groups.clear()

    def groups(self, service: str) -> Mapping[Group, frozenset[str]]:
        """Return the groups of a service; none if it has plain servers."""
        known = self._groups.get(service)
        if known is None:
            entries = [
                backend.entry for backend in self._servers.of_service(service)
            ]
            if not all(entry.is_engine for entry in entries):
                entries = []
            known = split_groups(service, entries, self._regions)
            self._groups[service] = known
        return known

    def fewest_slots(self, service: str) -> int:
        """Return the slots of the smallest engine."""
        servers = self._servers.of_service(service)
        return min((backend.entry.slots for backend in servers), default=0)

    def members(self, group: Group) -> Sequence[Backend]:
        """Return all engines of a group."""
        names = self.groups(group.service).get(group, frozenset())
        return [
            backend
            for backend in self._servers.of_service(group.service)
            if backend.name in names
        ]

    def serving(self, service: str, demand: Demand) -> Sequence[Backend]:
        """Return the servers of a service that may get a request."""
        servers = self._moves.serving(
            service, on_new_version=demand.on_new_version
        )
        home_regions = demand.current_home_regions()
        if home_regions is None:
            return servers
        return select_servers(servers, home_regions, self._regions)

    def candidates(self, group: Group, demand: Demand) -> Sequence[Backend]:
        """Return the engines of a group that may get a request."""
        names = self.groups(group.service).get(group, frozenset())
        return [
            backend
            for backend in self.serving(group.service, demand)
            if backend.name in names
        ]

    def is_own_region(self, group: Group) -> bool:
        """Return whether a group is in the own region."""
        return group.region == self._own_region

    def is_near(self, instance: str) -> bool:
        """Return whether an instance is in the own region."""
        return self._region_of(instance) == self._own_region


class SlotGrants:
    """Broker part and asker part of an instance, and the way between them.

    send passes a message to a peer. call_later runs a function after a time.
    """

    def __init__(
        self,
        *,
        own_name: str,
        incarnation: int,
        groups: GroupTable,
        election: BrokerElection,
        peers: PeerView,
        placement: LeastLoadPlacement,
        random: Random,
        send: Callable[[str, Message], None],
        call_later: Callable[[float, Callable[[], None]], object],
        clock: Callable[[], float],
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.is_enabled = True
        self.election = election
        self._own_name = own_name
        self._groups = groups
        self._peers = peers
        self._random = random
        self._send_to_peer = send
        self._call_later = call_later
        self._clock = clock
        self._is_sweeping = False
        # Groups without free slots, with the time until which that counts.
        self._full_until_s: dict[Group, float] = {}
        self.broker = SlotBroker(
            own_name=own_name,
            groups=groups,
            counts=FleetCounts(peers),
            placement=placement,
            send=self._send,
        )
        self.client = BrokerClient(
            own_name=own_name,
            incarnation=incarnation,
            brokers=election,
            engines=groups,
            send=self._send,
            set_timer=self._set_client_timer,
            count=count,
        )

    def groups_to_ask(self, service: str, demand: Demand) -> list[Group]:
        """Return the groups that a request asks in turn.

        That is one of the own region, then up to one other of it and one of
        each other region. Groups without a server for the request are left
        out. It is empty where the instances don't outnumber the slots of an
        engine, and until the list of the peers has been read: the own shares
        are used.
        """
        if not (
            self.is_enabled
            and self.election.knows_peers
            and self._peers.instance_count > self._groups.fewest_slots(service)
        ):
            return []
        by_region: dict[str, list[Group]] = {}
        for group in self._groups.groups(service):
            homes = demand.current_home_regions()
            if homes is not None and group.region not in homes:
                continue
            if self._groups.candidates(group, demand):
                by_region.setdefault(group.region, []).append(group)
        near: list[Group] = []
        far: list[Group] = []
        for groups in by_region.values():
            group = self._choose_group(groups, demand)
            if not self._groups.is_own_region(group):
                far.append(group)
                continue
            near.append(group)
            others = [other for other in groups if other != group]
            if others:
                near.append(self._random.choice(others))
        self._random.shuffle(far)
        return near + far

    def ask(
        self,
        demand: Demand,
        groups: Sequence[Group],
        budget_s: float,
        on_result: Callable[[GrantResult], None],
        now_s: float,
    ) -> SpilloverAsk:
        """Ask the groups for a slot; on_result is called once.

        It may be called before this returns.
        """
        return SpilloverAsk(
            self.client,
            demand,
            groups,
            budget_s,
            on_result,
            now_s,
            self._full_until_s,
        )

    def may_have_free_slot(
        self, groups: Sequence[Group], demand: Demand, now_s: float
    ) -> bool:
        """Return whether a request would probably get a slot at once.

        A broker knows it; other instances see it in the reports.
        """
        shares = self._peers.slot_shares(now_s)
        for group in groups:
            if self.election.broker(group, now_s) == self._own_name:
                is_free = self.broker.has_free_slot(group, demand, now_s)
                self._start_sweeps()
                if is_free:
                    return True
                continue
            for backend in self._groups.candidates(group, demand):
                unused = shares.unused(backend.entry.slots, backend.name)
                if (
                    backend.name not in demand.excluded
                    and backend.is_available(now_s)
                    and backend.in_flight < unused
                ):
                    return True
        return False

    def handle(self, sender: str, message: Message, now_s: float) -> None:
        """Handle a message; sender is the instance that has sent it."""
        if isinstance(message, Queued | Grant | Refusal):
            self.client.handle(message, sender, now_s)
            return
        self.broker.handle(message, now_s)
        self._start_sweeps()

    def record_report(self, report: PeerReport, now_s: float) -> None:
        """Correct the broker's counts by a report."""
        self.broker.record_report(report, now_s)

    def record_left(self, name: str, now_s: float) -> None:
        """Handle that an instance has left."""
        self.election.expire()
        self.broker.record_left(name, now_s)
        self.client.record_left(name, now_s)

    def _choose_group(self, groups: list[Group], demand: Demand) -> Group:
        """Choose one of a region's groups.

        Requests with the same part of a prompt choose the same one, whose
        broker sends them to the same engine.
        """
        part = demand.shared_part
        if part is not None and part.tokens >= MIN_SHARED_TOKENS:
            return groups[crc32(part.name.encode()) % len(groups)]
        return self._random.choice(groups)

    def _send(self, target: str, message: Message) -> None:
        if target == self._own_name:
            self.handle(target, message, self._clock())
        else:
            self._send_to_peer(target, message)

    def _set_client_timer(self, delay_s: float) -> None:
        self._call_later(delay_s, lambda: self.client.on_timer(self._clock()))

    def _start_sweeps(self) -> None:
        if self.broker.is_active and not self._is_sweeping:
            self._is_sweeping = True
            self._call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._is_sweeping = False
        self.broker.sweep(self._clock())
        self._start_sweeps()


def build_slot_grants(
    settings: EntrySettings,
    *,
    incarnation: int,
    state: FleetState,
    moves: VersionMoves,
    peers: PeerView,
    placement: LeastLoadPlacement,
    withheld: Callable[[float], frozenset[str]],
    random: Random,
    send: Callable[[str, Message], None],
    clock: Callable[[], float],
    count: Callable[[str], None],
) -> SlotGrants:
    """Return the slot grants of an instance."""
    election = BrokerElection(settings.name, settings.region, peers)
    groups = GroupTable(
        state.registry,
        moves,
        settings.regions,
        settings.region,
        election.region_of,
        withheld,
    )
    state.on_change.append(groups.clear)
    grants = SlotGrants(
        own_name=settings.name,
        incarnation=incarnation,
        groups=groups,
        election=election,
        peers=peers,
        placement=placement,
        random=random,
        send=send,
        call_later=lambda delay_s, run: get_running_loop().call_later(
            delay_s, run
        ),
        clock=clock,
        count=count,
    )
    grants.is_enabled = settings.uses_slot_grants
    return grants
