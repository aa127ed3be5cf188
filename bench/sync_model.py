"""Simulated gateways and agents that exchange Sync calls over a network."""

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

# Region of each failure domain in the fleet of the association.
DOMAINS = {
    "lima-a": "lima",
    "lima-b": "lima",
    "arequipa-a": "arequipa",
    "arequipa-b": "arequipa",
    "lima-c": "lima",
}
STORE_REGION = "lima"
# One-way latency within a region and between the regions.
LOCAL_LATENCY_S = 0.0005
REGION_LATENCY_S = 0.008
# TCP waits this long before the first retransmission and twice as long before
# each further one.
RETRANSMISSION_TIMEOUT_S = 0.2
# HTTP/2 headers, trailers, frames and acknowledgements, and the TCP and IP
# headers of about six packets, for each direction of a call.
MESSAGE_OVERHEAD_BYTES = 220
# Longer than any run, so that a lost message never arrives.
LOST_MESSAGE_WAIT_S = 3600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NetworkFaults:
    """Faults of the network.

    retransmitted_share is the share of messages that TCP sends again, and
    lost_call_share that of messages that never arrive, so that their call
    gets no reply.
    """

    retransmitted_share: float = 0.0
    lost_call_share: float = 0.0


NO_FAULTS = NetworkFaults()


@contextmanager
def paused_garbage_collection() -> Iterator[None]:
    """Disable the garbage collector while the context is open.

    Its repeated scans of about a thousand simulated nodes would slow a run
    down. The garbage of the run is collected when the context ends.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()


class ModelNode:
    """Simulated process with the real SyncNode, Replica and MembershipView.

    in_force_s is the time at which a changed configuration was applied.
    """

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
            transport=SimulatedTransport(network, self),
        )

    def record_changes(self, changed: set[DocumentName]) -> None:
        """Record the time at which a changed configuration is applied."""
        if DocumentName.CONFIGURATION in changed and self.in_force_s is None:
            self.in_force_s = self._clock()

    def accept_store_update(
        self, items: dict[str, object], revision: int
    ) -> None:
        """Accept a configuration as if a watch of the store reported it."""
        name = DocumentName.CONFIGURATION
        if self.is_alive and self.replica.accept(name, items, revision):
            self.record_changes({name})
            self.sync.notify(push=True)

    async def async_run(self) -> None:
        """Run the loops of the sync node after a random delay."""
        await asyncio.sleep(self.random.uniform(0.0, SYNC_INTERVAL_S))
        await asyncio.gather(
            self.sync.async_run_rounds(),
            self.sync.async_run_pushes(),
            self.sync.async_run_pulls(),
        )

    async def async_update_digest(self) -> None:
        """Update the digest at each Sync interval.

        An agent has a new load report, and a gateway new evidence of a
        rollout.
        """
        requests = 0
        while True:
            requests += self.random.randint(20, 80)
            now_s = self._clock()
            if self.role == ROLE_AGENT:
                part = DigestPart(loads=(self._build_load_report(),))
            else:
                part = DigestPart(evidence=self._build_evidence(requests))
            self.replica.digest.merge(part, self.name, now_s)
            await asyncio.sleep(SYNC_INTERVAL_S)

    def _build_load_report(self) -> LoadReport:
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


class SimulatedTransport:
    """Transport of one node over the simulated network."""

    def __init__(self, network: Network, node: ModelNode) -> None:
        self._network = network
        self._node = node

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Make a call; it does not return if a message is lost."""
        network, caller = self._network, self._node
        callee = network.nodes[address]
        if not network.uses_long_polling:
            request.hold_ms = 0
        await network.async_deliver(caller, callee, request.ByteSize())
        reply = await callee.sync.async_answer(request)
        await network.async_deliver(callee, caller, reply.ByteSize())
        return reply

    def close(self) -> None:
        """Do nothing; there is no connection."""


class Network:
    """Simulated network of nodes that counts bytes and messages by node.

    uses_long_polling lets a callee hold a Sync call until it has a change;
    otherwise it replies at once.
    """

    def __init__(
        self,
        gateways: int,
        agents: int,
        seed: int,
        *,
        uses_long_polling: bool = True,
    ) -> None:
        self.faults = NO_FAULTS
        self.uses_long_polling = uses_long_polling
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
        self._update_membership_views()

    def start(self, *, updates_digests: bool = False) -> None:
        """Start all nodes; they run until the event loop ends."""
        for node in self.nodes.values():
            self._tasks.append(asyncio.create_task(node.async_run()))
            if updates_digests:
                self._tasks.append(
                    asyncio.create_task(node.async_update_digest())
                )

    def living(self) -> Iterator[ModelNode]:
        """Return the nodes that have not failed."""
        return (node for node in self.nodes.values() if node.is_alive)

    def relays(self) -> list[ModelNode]:
        """Return the gateways that watch the store.

        A failed node stays in the list of instances, so it can be among
        them.
        """
        return [
            node
            for node in self.nodes.values()
            if node.role != ROLE_AGENT and node.place().is_relay
        ]

    async def async_deliver(
        self, sender: ModelNode, receiver: ModelNode, size: int
    ) -> None:
        """Wait until a message arrives, for ever if it is lost."""
        crosses_regions = sender.region != receiver.region
        self._count_message(sender, size)
        is_lost = self._random.random() < self.faults.lost_call_share
        if is_lost or not receiver.is_alive or not sender.is_alive:
            await asyncio.sleep(LOST_MESSAGE_WAIT_S)
        if crosses_regions and self.is_partitioned:
            await asyncio.sleep(LOST_MESSAGE_WAIT_S)
        delay_s = REGION_LATENCY_S if crosses_regions else LOCAL_LATENCY_S
        wait_s = RETRANSMISSION_TIMEOUT_S
        while self._random.random() < self.faults.retransmitted_share:
            delay_s += wait_s
            wait_s *= 2
        await asyncio.sleep(delay_s)
        self._count_message(receiver, size)

    def _count_message(self, node: ModelNode, size: int) -> None:
        self.bytes[node.name] += size + MESSAGE_OVERHEAD_BYTES
        self.messages[node.name] += 1

    def _update_membership_views(self) -> None:
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
