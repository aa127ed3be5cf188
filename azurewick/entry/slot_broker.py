"""Broker that grants slots of engines to the requests of all instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from logging import getLogger
from math import inf
from typing import Protocol

from azurewick.entry.admission import ArrivalRates
from azurewick.entry.admission import predict_wait_s
from azurewick.entry.backends import Backend
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import Ask
from azurewick.entry.broker_messages import AskerMessage
from azurewick.entry.broker_messages import BrokerMessage
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import Refusal
from azurewick.entry.broker_messages import Release
from azurewick.entry.broker_messages import RequestKey
from azurewick.entry.broker_messages import Withdrawal
from azurewick.entry.dispatcher import wait_budget_s
from azurewick.entry.fleet_counts import FleetCounts
from azurewick.entry.fleet_counts import REMOTE_SETTLE_S
from azurewick.entry.fleet_counts import SETTLE_S
from azurewick.entry.peers import PeerReport
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import RequestQueue
from azurewick.entry.request_queue import Waiter
from azurewick.entry.shared_ejections import SharedEjections

_LOGGER = getLogger(__name__)

# Interval of the checks for requests that have waited too long, silent
# instances and old decisions. One timer serves all requests.
SWEEP_INTERVAL_S = 0.1
# An asker that waits sends its ask again every 0.25 s. A request without a
# sign of life for several of these isn't granted a slot any more.
ASK_EXPIRES_S = 1.0
# Decisions are remembered for this long: an ask may arrive again after its
# request has ended.
DECISION_TTL_S = 2.0
# The capacity of a group is computed over all its engines and changes over
# seconds.
CAPACITY_TTL_S = 0.1
# Without asks for this long, an instance stops counting slots.
IDLE_AFTER_S = 5.0


class EngineGroups(Protocol):
    """Engines of the groups."""

    def candidates(self, group: Group, demand: Demand) -> Sequence[Backend]:
        """Return the engines of a group that may get a request."""

    def members(self, group: Group) -> Sequence[Backend]:
        """Return all engines of a group."""

    def is_near(self, instance: str) -> bool:
        """Return whether an instance is in the own region."""


@dataclass(slots=True)
class _GroupQueue:
    """Requests that wait for an engine of a group.

    capacities holds the capacity and the time of its computation by version,
    as on_new_version.
    """

    queue: RequestQueue[RequestKey] = field(default_factory=RequestQueue)
    rates: ArrivalRates = field(default_factory=ArrivalRates)
    capacities: dict[bool, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class _Waiting:
    """Request that waits. seen_s is the time of its last ask."""

    waiter: Waiter[RequestKey]
    group: Group
    expires_s: float
    seen_s: float


class SlotBroker:
    """Queues the requests of all instances, and grants slots by urgency.

    All groups of which this instance is the broker share the counts: a
    report tells about all engines. The counts are kept only while asks come.
    """

    def __init__(
        self,
        *,
        own_name: str,
        groups: EngineGroups,
        counts: FleetCounts,
        placement: LeastLoadPlacement,
        send: Callable[[str, BrokerMessage], None],
    ) -> None:
        self._own_name = own_name
        self._groups = groups
        self._counts = counts
        self._placement = placement.with_slots(self)
        self._send = send
        self._queues: dict[Group, _GroupQueue] = {}
        self._waiting: dict[RequestKey, _Waiting] = {}
        # Time and refusal of each request that has ended; no refusal if it
        # was released or withdrawn.
        self._decided: dict[RequestKey, tuple[float, Refusal | None]] = {}
        self._ejections = SharedEjections()
        self._is_active = False
        self._asked_s = -inf
        self._swept_s = -inf

    @property
    def is_active(self) -> bool:
        """Return whether sweep() has to be called."""
        return self._is_active

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def slot_shares(self, now_s: float) -> FleetCounts:
        """Return the counts, which are the placement's view of the slots."""
        return self._counts

    def handle(self, message: AskerMessage, now_s: float) -> None:
        """Handle a message of an asker."""
        match message:
            case Ask():
                self._handle_ask(message, now_s)
            case Release():
                self._handle_release(message, now_s)
            case Withdrawal():
                self._handle_withdrawal(message.key, now_s)

    def record_report(self, report: PeerReport, now_s: float) -> None:
        """Correct the counts by the report of an instance."""
        if not self._is_active:
            return
        is_near = self._groups.is_near(report.name)
        settle_s = SETTLE_S if is_near else REMOTE_SETTLE_S
        if self._counts.record_report(report, now_s, settle_s):
            self.assign(now_s)

    def record_left(self, name: str, now_s: float) -> None:
        """Drop the requests of an instance that has left."""
        if not self._is_active:
            return
        self._counts.remove_asker(name)
        self._drop_waiting(lambda key, _: key.asker == name)
        self.assign(now_s)

    def sweep(self, now_s: float) -> None:
        """Drop what is old, and assign the slots that this has freed."""
        if not self._is_active or now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        if now_s - self._asked_s > IDLE_AFTER_S and not self._waiting:
            self._is_active = False
            self._queues.clear()
            self._decided.clear()
            _LOGGER.info("no more asks for slots, counts are dropped")
            return
        self._drop_waiting(
            lambda _, waiting: (
                now_s >= waiting.expires_s
                or now_s - waiting.seen_s > ASK_EXPIRES_S
            )
        )
        # Decisions are in the order of their times.
        for key, (decided_s, _) in list(self._decided.items()):
            if now_s - decided_s <= DECISION_TTL_S:
                break
            del self._decided[key]
        self._counts.refresh(now_s)
        self.assign(now_s)

    def assign(self, now_s: float) -> None:
        """Grant free slots to waiting requests, the most urgent first."""
        for group, queue in list(self._queues.items()):
            if len(queue.queue):
                self._assign_group(group, queue, now_s)

    def has_free_slot(
        self, group: Group, demand: Demand, now_s: float
    ) -> bool:
        """Return whether a request would get a slot at once."""
        self._start(now_s)
        return self._choose(group, demand, now_s) is not None

    def _start(self, now_s: float) -> None:
        if not self._is_active:
            self._is_active = True
            self._counts.start(now_s)
            _LOGGER.info(
                "asks for slots arrive, counts start from the reports",
                extra={"in_flight": sum(self._counts.snapshot().values())},
            )
        self._asked_s = now_s

    def _handle_ask(self, ask: Ask, now_s: float) -> None:
        key = ask.key
        self._start(now_s)
        if key in self._decided:
            refusal = self._decided[key][1]
            if refusal is not None:
                self._send(key.asker, refusal)
            return
        server = self._counts.renew_grant(key, now_s)
        if server is not None:
            self._send(key.asker, Grant(key=key, server=server))
            return
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.seen_s = now_s
            self._acknowledge(waiting, now_s)
            return
        self._add(ask, now_s)

    def _add(self, ask: Ask, now_s: float) -> None:
        """Grant a slot to a new request, refuse it or queue it."""
        key = ask.key
        demand = ask.demand
        if ask.excluded:
            demand = replace(
                demand, excluded=demand.excluded | frozenset(ask.excluded)
            )
        if not self._groups.members(ask.group):
            # This instance doesn't know the engines yet. Without an answer
            # the asker uses another broker or its own shares.
            return
        if not ask.may_wait:
            backend = self._choose(ask.group, demand, now_s)
            if backend is None:
                self._refuse(key, 0.0, now_s)
            else:
                self._grant(key, backend, now_s)
            return
        queue = self._queues.setdefault(ask.group, _GroupQueue())
        waiter = Waiter(
            payload=key,
            demand=demand,
            urgency=demand.urgency(now_s),
            arrived_s=now_s,
        )
        budget_s = wait_budget_s(demand, now_s)
        wait_s = self._predict_wait_s(ask.group, waiter, now_s)
        queue.rates.add(waiter.urgency, demand.work.total_s, now_s)
        if wait_s > budget_s and not demand.is_started:
            self._refuse(key, wait_s, now_s)
            return
        waiting = _Waiting(waiter, ask.group, now_s + budget_s, now_s)
        self._waiting[key] = waiting
        queue.queue.add(waiter)
        self._assign_group(ask.group, queue, now_s)
        if key in self._waiting:
            self._acknowledge(waiting, now_s)

    def _refuse(self, key: RequestKey, wait_s: float, now_s: float) -> None:
        refusal = Refusal(key=key, wait_s=wait_s)
        self._decided[key] = (now_s, refusal)
        self._send(key.asker, refusal)

    def _acknowledge(self, waiting: _Waiting, now_s: float) -> None:
        key = waiting.waiter.payload
        wait_s = self._predict_wait_s(waiting.group, waiting.waiter, now_s)
        self._send(key.asker, Queued(key=key, wait_s=wait_s))

    def _handle_release(self, release: Release, now_s: float) -> None:
        if release.unavailable_s > 0:
            self._ejections.add(release, now_s)
        key = release.key
        if key.asker != self._own_name:
            if key in self._decided or not self._counts.release(
                key, release.server
            ):
                return
            self._decided[key] = (now_s, None)
        self.assign(now_s)

    def _handle_withdrawal(self, key: RequestKey, now_s: float) -> None:
        server = self._counts.granted_server(key)
        if server is not None:
            self._counts.release(key, server)
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            self._queues[waiting.group].queue.remove(waiting.waiter)
        self._decided[key] = (now_s, None)
        if server is not None:
            self.assign(now_s)

    def _assign_group(
        self, group: Group, queue: _GroupQueue, now_s: float
    ) -> None:
        free = self._count_free(group, now_s)
        if not free:
            return
        # Kinds of requests for which no engine has a free slot.
        full: set[tuple[bool, frozenset[str] | None]] = set()
        for waiter in queue.queue.in_order():
            demand = waiter.demand
            kind = (demand.on_new_version, demand.home_regions)
            # A grant to the own instance may change the queue at once.
            if kind in full or waiter.payload not in self._waiting:
                continue
            backend = self._choose(group, demand, now_s)
            if backend is None:
                if not demand.excluded:
                    full.add(kind)
                continue
            queue.queue.remove(waiter)
            del self._waiting[waiter.payload]
            self._grant(waiter.payload, backend, now_s)
            free -= 1
            if not free:
                return

    def _count_free(self, group: Group, now_s: float) -> int:
        """Return the free slots of a group.

        Most messages arrive while there are none, and the waiting requests
        needn't be looked at.
        """
        return sum(
            max(0, slots - self._counts.used(slots, name, in_flight))
            for name, slots, in_flight in (
                (backend.name, backend.entry.slots, backend.in_flight)
                for backend in self._groups.members(group)
                if backend.is_available(now_s)
            )
        )

    def _grant(self, key: RequestKey, backend: Backend, now_s: float) -> None:
        if key.asker != self._own_name:
            self._counts.add_grant(key, backend.name, now_s)
        self._send(key.asker, Grant(key=key, server=backend.name))

    def _choose(
        self, group: Group, demand: Demand, now_s: float
    ) -> Backend | None:
        return self._placement.choose(
            self._usable(group, demand, now_s), demand, now_s
        )

    def _usable(
        self, group: Group, demand: Demand, now_s: float
    ) -> Sequence[Backend]:
        return self._ejections.filter(
            self._groups.candidates(group, demand), now_s
        )

    def _predict_wait_s(
        self, group: Group, waiter: Waiter[RequestKey], now_s: float
    ) -> float:
        queue = self._queues[group]
        work_ahead_s = queue.queue.work_ahead_s(waiter.urgency)
        if not work_ahead_s:
            return 0.0
        return predict_wait_s(
            work_ahead_s,
            self._capacity(group, queue, waiter.demand, now_s),
            queue.rates.more_urgent_per_s(waiter.urgency, now_s),
        )

    def _capacity(
        self, group: Group, queue: _GroupQueue, demand: Demand, now_s: float
    ) -> float:
        """Return the nominal work a second of a group's engines."""
        known = queue.capacities.get(demand.on_new_version)
        if known is None or now_s - known[1] >= CAPACITY_TTL_S:
            capacity = self._placement.capacity(
                self._usable(group, demand, now_s), now_s
            )
            known = (capacity, now_s)
            queue.capacities[demand.on_new_version] = known
        return known[0]

    def _drop_waiting(
        self, is_dropped: Callable[[RequestKey, _Waiting], bool]
    ) -> None:
        for key, waiting in list(self._waiting.items()):
            if is_dropped(key, waiting):
                del self._waiting[key]
                self._queues[waiting.group].queue.remove(waiting.waiter)
