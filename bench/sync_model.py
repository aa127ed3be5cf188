"""Gateways and agents that sync over a simulated network."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
import gc
from random import Random

from azurewick.const import SYNC_INTERVAL_S
from azurewick.control import control_pb2 as pb
from azurewick.control.documents import DocumentName
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.control.replica import Replica
from azurewick.control.replica import ROLE_AGENT
from azurewick.control.sync import SyncNode
from azurewick.membership.neighbours import Neighbours
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import LoadReport

# Failure domains of the association; the store is in the first region.
DOMAINS = {
    "lima-a": "lima",
    "lima-b": "lima",
    "arequipa-a": "arequipa",
    "arequipa-b": "arequipa",
    "lima-c": "lima",
}
STORE_REGION = "lima"
LATENCY_S = 0.0005
REGION_LATENCY_S = 0.008
RETRANSMISSION_S = 0.2
# HTTP/2 headers, trailers, frames and acknowledgements, and the TCP and IP
# headers of about six packets, for each direction of a call.
OVERHEAD_BYTES = 220
FOREVER_S = 3600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NetworkFaults:
    """Shares of messages that TCP sends again, and of calls without answer."""

    resent_share: float = 0.0
    lost_call_share: float = 0.0


NO_FAULTS = NetworkFaults()


@contextmanager
def paused_collector() -> Iterator[None]:
    """Keep the collector from searching a thousand nodes again and again.

    It finds what a run left when it is on again.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()


class ModelNode:
    """Process with the real sync loop, replica and membership view."""

    def __init__(
        self, network: Network, name: str, role: str, domain: str, seed: int
    ) -> None:
        self.name = name
        self.domain = domain
        self.region = DOMAINS[domain]
        self.role = role
        self.is_alive = True
        self.in_force_s: float | None = None
        self.random = Random(f"{seed}/{name}")
        self._incarnation = f"{self.random.getrandbits(48):012x}"
        self.view = MembershipView()
        self.replica = Replica(name, role, self._incarnation)
        self._clock = asyncio.get_running_loop().time
        self.neighbours = Neighbours(
            name=name,
            region=self.region,
            failure_domain=domain,
            is_agent=role == ROLE_AGENT,
            view=self.view,
            clock=self._clock,
            random=self.random,
        )
        self.place = self.neighbours.place
        self.choose_cross_check = self.neighbours.choose_cross_check
        self.find_gateway = self.neighbours.find_gateway
        self.record_contact = self.neighbours.record_contact
        self.record_no_contact = self.neighbours.record_no_contact
        self.sync = SyncNode(
            self.replica,
            self,
            peers=(),
            interval_s=SYNC_INTERVAL_S,
            clock=self._clock,
            random=self.random,
            transport=Link(network, self),
        )

    def record_changes(self, changed: set[DocumentName]) -> None:
        """Note when the changed configuration came into force."""
        if DocumentName.CONFIGURATION in changed and self.in_force_s is None:
            self.in_force_s = self._clock()

    def take_from_store(self, items: dict[str, object], revision: int) -> None:
        """Take a configuration as a watch of the store brings it."""
        name = DocumentName.CONFIGURATION
        if self.is_alive and self.replica.accept(name, items, revision):
            self.record_changes({name})
            self.sync.notify(push=True)

    async def async_run(self) -> None:
        """Run the loops of the sync node."""
        await asyncio.sleep(self.random.uniform(0.0, SYNC_INTERVAL_S))
        await asyncio.gather(
            self.sync.async_run_rounds(),
            self.sync.async_run_pushes(),
            self.sync.async_run_pulls(),
        )

    async def async_change_load(self) -> None:
        """Give each interval new loads, or new evidence of a rollout."""
        requests = 0
        while True:
            requests += self.random.randint(20, 80)
            now_s = self._clock()
            if self.role == ROLE_AGENT:
                part = DigestPart(loads=(self._build_load(),))
            else:
                part = DigestPart(evidence=self._build_evidence(requests))
            self.replica.digest.merge(part, self.name, now_s)
            await asyncio.sleep(SYNC_INTERVAL_S)

    def _build_load(self) -> LoadReport:
        return LoadReport(
            backend_server=self.name,
            incarnation=self._incarnation,
            version="version-7",
            running=self.random.randint(0, 64),
            queued=self.random.randint(0, 64),
            queued_work_s=self.random.uniform(0.0, 9.0),
            batch_limit=self.random.randint(8, 64),
            prefill_tokens_per_s=self.random.uniform(2e3, 2e4),
            decode_tokens_per_s=self.random.uniform(2e2, 2e3),
        )

    def _build_evidence(self, requests: int) -> tuple[EvidenceCount, ...]:
        return tuple(
            EvidenceCount(
                gateway=self.name,
                incarnation=self._incarnation,
                request_class="long-draft",
                version=version,
                route="chat",
                requests=requests,
                failures=requests // 50,
                slow=requests // 20,
            )
            for version in ("version-7", "version-8")
        )


class Link:
    """Transport of one node over the simulated network."""

    def __init__(self, network: Network, node: ModelNode) -> None:
        self._network = network
        self._node = node

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Carry a call; without an answer it never returns."""
        network, caller = self._network, self._node
        callee = network.nodes[address]
        if not network.holds_calls:
            request.hold_ms = 0
        await network.async_carry(caller, callee, request.ByteSize())
        reply = await callee.sync.async_answer(request)
        await network.async_carry(callee, caller, reply.ByteSize())
        return reply

    def close(self) -> None:
        """Do nothing; there is no connection."""


class Network:
    """Nodes by address, with faults and counts of bytes and messages."""

    def __init__(
        self,
        gateways: int,
        agents: int,
        seed: int,
        *,
        holds_calls: bool = True,
    ) -> None:
        self.faults = NO_FAULTS
        self.holds_calls = holds_calls
        self.is_partitioned = False
        self.bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._random = Random(seed)
        domains = list(DOMAINS)
        self.nodes = {
            name: ModelNode(self, name, role, domains[index % 5], seed)
            for role, count in (("gateway", gateways), (ROLE_AGENT, agents))
            for index in range(count)
            for name in (f"{role}-{index:03d}",)
        }
        self._tasks: list[asyncio.Task[None]] = []
        self._list_gateways()

    def start(self, *, changes_loads: bool = False) -> None:
        """Run all nodes until the event loop ends."""
        for node in self.nodes.values():
            self._tasks.append(asyncio.create_task(node.async_run()))
            if changes_loads:
                self._tasks.append(
                    asyncio.create_task(node.async_change_load())
                )

    def living(self) -> Iterator[ModelNode]:
        """Return the nodes that run."""
        return (node for node in self.nodes.values() if node.is_alive)

    def relays(self) -> list[ModelNode]:
        """Return the nodes that watch the store, by the full list."""
        return [
            node
            for node in self.nodes.values()
            if node.role != ROLE_AGENT and node.place().is_relay
        ]

    async def async_carry(
        self, sender: ModelNode, receiver: ModelNode, size: int
    ) -> None:
        """Take the time of a message; forever when it can't arrive."""
        crosses = sender.region != receiver.region
        self._count(sender, size)
        is_lost = self._random.random() < self.faults.lost_call_share
        if is_lost or not receiver.is_alive or not sender.is_alive:
            await asyncio.sleep(FOREVER_S)
        if crosses and self.is_partitioned:
            await asyncio.sleep(FOREVER_S)
        delay_s = REGION_LATENCY_S if crosses else LATENCY_S
        wait_s = RETRANSMISSION_S
        while self._random.random() < self.faults.resent_share:
            delay_s += wait_s
            wait_s *= 2
        await asyncio.sleep(delay_s)
        self._count(receiver, size)

    def _count(self, node: ModelNode, size: int) -> None:
        self.bytes[node.name] += size + OVERHEAD_BYTES
        self.messages[node.name] += 1

    def _list_gateways(self) -> None:
        specs = {
            node.name: {
                "role": "gateway",
                "state": "live",
                "region": node.region,
                "failure_domain": node.domain,
                "control_address": node.name,
            }
            for node in self.nodes.values()
            if node.role != ROLE_AGENT
        }
        instances = parse_instances(specs)
        for node in self.nodes.values():
            node.view.update_list(instances, 1, 0.0)
