"""Processor time, bytes and calls of the control plane by fleet size.

Gateways and agents are simulated in one event loop in virtual time, each with
a real ClusterState. The processor time of each step of a task is charged to
the simulated process that runs it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from contextvars import copy_context
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from json import dumps
from random import Random

from azurewick.control import control_pb2 as pb
from azurewick.control.models import EvidenceCount
from azurewick.control.replica import ROLE_AGENT
from azurewick.membership.coordinator import ClusterState
from azurewick.models import LoadReport
from azurewick.routing.selector import LeastCostRouter
from azurewick.settings.loader import parse_settings
from bench.capacity_fit import CURRENT_OWNER
from bench.capacity_fit import ProcessorMeter
from bench.counting_store import CountingStore
from bench.sync_model import DOMAINS
from bench.sync_model import LOCAL_LATENCY_S
from bench.sync_model import MESSAGE_OVERHEAD_BYTES
from bench.sync_model import REGION_LATENCY_S

# Gateways and agents.
FLEET_SIZES = ((20, 36), (60, 109), (150, 273), (330, 600))
POOL_COUNT = 15
REQUESTS_PER_S_PER_GATEWAY = 7800 / 330
WARM_UP_S = 8.0
WINDOW_S = 8.0
# An agent records its own load at this interval.
LOAD_REPORT_INTERVAL_S = 0.25
EVIDENCE_INTERVAL_S = 2.0
# Only the relays and this many other gateways have routers that record load
# reports; the routers of all gateways would need several GB of memory.
MEASURED_GATEWAYS = 20
CONFIGURATION_SPEC = {
    "pools": [
        {"name": f"pool-{number:02d}", "kind": "model"}
        for number in range(POOL_COUNT)
    ],
    "classes": [{"name": "quick", "pool": "pool-00", "tier": 0}],
    "customers": [{"name": "customer-1", "classes": ["quick"]}],
}


@dataclass(kw_only=True, slots=True)
class Traffic:
    """Bytes and calls of each process, and bytes sent by each region.

    region_bytes counts only what goes to the other region.
    """

    bytes: Counter[str] = field(default_factory=Counter)
    client_calls: Counter[str] = field(default_factory=Counter)
    server_calls: Counter[str] = field(default_factory=Counter)
    region_bytes: Counter[str] = field(default_factory=Counter)

    def clear(self) -> None:
        """Reset all counters."""
        for counter in (
            self.bytes,
            self.client_calls,
            self.server_calls,
            self.region_bytes,
        ):
            counter.clear()


@dataclass(kw_only=True, slots=True)
class Node:
    """Simulated gateway or agent process."""

    name: str
    role: str
    domain: str
    pool: str
    cluster: ClusterState
    random: Random
    routers: dict[str, LeastCostRouter] = field(default_factory=dict)


class MeteredTransport:
    """Transport between simulated processes that counts calls and bytes.

    The processor time of an answer is charged to the callee.
    """

    def __init__(self, fleet: ControlFleet, name: str, domain: str) -> None:
        self._fleet = fleet
        self._name = name
        self._domain = domain

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Return the reply of the process at an address."""
        fleet = self._fleet
        callee = fleet.nodes[address]
        crosses_regions = DOMAINS[callee.domain] != DOMAINS[self._domain]
        delay_s = REGION_LATENCY_S if crosses_regions else LOCAL_LATENCY_S
        fleet.traffic.client_calls[self._name] += 1
        fleet.traffic.server_calls[callee.name] += 1
        self._count_bytes(
            request.ByteSize(), callee, self._domain, crosses_regions
        )
        await asyncio.sleep(delay_s)
        token = CURRENT_OWNER.set(callee.name)
        try:
            reply = await fleet.meter.async_run_charged(
                callee.name, callee.cluster.async_answer(request)
            )
        finally:
            CURRENT_OWNER.reset(token)
        self._count_bytes(
            reply.ByteSize(), callee, callee.domain, crosses_regions
        )
        await asyncio.sleep(delay_s)
        return reply

    def close(self) -> None:
        """Do nothing; there is no connection."""

    def _count_bytes(
        self,
        size: int,
        callee: Node,
        sender_domain: str,
        crosses_regions: bool,
    ) -> None:
        traffic = self._fleet.traffic
        total = size + MESSAGE_OVERHEAD_BYTES
        traffic.bytes[self._name] += total
        traffic.bytes[callee.name] += total
        if crosses_regions:
            traffic.region_bytes[DOMAINS[sender_domain]] += total


class ControlFleet:
    """Simulated gateways and agents whose control plane is at peak load."""

    def __init__(self, gateways: int, agents: int, seed: int) -> None:
        self.meter = ProcessorMeter(asyncio.get_running_loop())
        self.traffic = Traffic()
        self.nodes: dict[str, Node] = {}
        self.store = CountingStore()
        self.store.put("configurations", "fleet", CONFIGURATION_SPEC)
        self._seed = seed
        self._random = Random(seed)
        self._addresses = [
            _build_address(number) for number in range(gateways)
        ]
        for number in range(gateways + agents):
            self._add_node(
                number, "gateway" if number < gateways else ROLE_AGENT
            )
        self._agents = [
            node for node in self.nodes.values() if node.role == ROLE_AGENT
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> None:
        """Start all processes, warm up and measure for WINDOW_S."""
        for node in self.nodes.values():
            copy_context().run(self._start_node, node)
        await asyncio.sleep(WARM_UP_S / 2)
        for node in self._choose_measured_gateways():
            self._add_routers(node)
        await asyncio.sleep(WARM_UP_S / 2)
        self.traffic.clear()
        self.meter.reset()
        await asyncio.sleep(WINDOW_S)
        self.meter.charge_to("")

    def group_measured_nodes(self) -> dict[str, list[Node]]:
        """Return the measured processes: gateways, relays and agents.

        Each gateway is either in "gateway" or in "relay".
        """
        gateways = self._choose_measured_gateways()
        return {
            "gateway": [
                node for node in gateways if not node.cluster.is_relay
            ],
            "relay": [node for node in gateways if node.cluster.is_relay],
            "agent": self._agents,
        }

    def _choose_measured_gateways(self) -> list[Node]:
        gateways = [
            node for node in self.nodes.values() if node.role != ROLE_AGENT
        ]
        relays = [node for node in gateways if node.cluster.is_relay]
        others = [node for node in gateways if not node.cluster.is_relay]
        return relays + others[:MEASURED_GATEWAYS]

    def _start_node(self, node: Node) -> None:
        CURRENT_OWNER.set(node.name)
        loops = [node.cluster.async_start()]
        if node.role == ROLE_AGENT:
            loops.append(self._async_report_own_load(node))
        else:
            loops += [
                self._async_report_evidence(node),
                self._async_report_answer_loads(node),
            ]
        self._tasks += [asyncio.create_task(loop) for loop in loops]

    def _add_routers(self, node: Node) -> None:
        for pool in (f"pool-{number:02d}" for number in range(POOL_COUNT)):
            router = LeastCostRouter(self._seed, DOMAINS[node.domain])
            servers = node.cluster.backend_servers(pool, 0.0)
            router.update_servers(servers)
            node.routers[pool] = router
            names = frozenset(server.name for server in servers)
            node.cluster.async_add_load_listener(
                partial(self._record_load_report, router, names)
            )

    def _record_load_report(
        self,
        router: LeastCostRouter,
        names: frozenset[str],
        report: LoadReport,
    ) -> None:
        if report.backend_server in names:
            router.record_report(report, asyncio.get_running_loop().time())

    async def _async_report_own_load(self, node: Node) -> None:
        """Record an agent's own load at each interval."""
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(node.random.uniform(0.0, LOAD_REPORT_INTERVAL_S))
        while True:
            node.cluster.record_load(_build_load_report(node), clock())
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    async def _async_report_answer_loads(self, node: Node) -> None:
        """Record the load reports that come with answers at peak load."""
        clock = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(
                node.random.expovariate(REQUESTS_PER_S_PER_GATEWAY)
            )
            agent = node.random.choice(self._agents)
            node.cluster.record_load(_build_load_report(agent), clock())

    async def _async_report_evidence(self, node: Node) -> None:
        """Record a gateway's counts for two versions of a request class."""
        clock = asyncio.get_running_loop().time
        requests = 0
        while True:
            await asyncio.sleep(EVIDENCE_INTERVAL_S)
            requests += 40
            counts = [
                EvidenceCount(
                    gateway=node.name,
                    incarnation=node.cluster.incarnation,
                    request_class="quick",
                    version=version,
                    route="chat",
                    requests=requests,
                )
                for version in ("v1", "v2")
            ]
            node.cluster.record_evidence(counts, clock())

    def _add_node(self, number: int, role: str) -> None:
        address = _build_address(number)
        name = f"{role}-{number:04d}"
        domain = list(DOMAINS)[number % len(DOMAINS)]
        pool = f"pool-{number % POOL_COUNT:02d}"
        location = {"region": DOMAINS[domain], "failure_domain": domain}
        server_fields = {"pool": pool, "kind": "model", "version": "v1"}
        is_agent = role == ROLE_AGENT
        settings = {
            "role": role,
            "name": name,
            "address": address,
            "control_address": address,
            "store": {"url": "http://127.0.0.1:1"},
            "peers": self._random.sample(self._addresses, 3),
        }
        agent_settings = (
            {**server_fields, "backend_url": "http://127.0.0.1:1"}
            if is_agent
            else {}
        )
        self.nodes[address] = Node(
            name=name,
            role=role,
            domain=domain,
            pool=pool,
            random=Random(f"{self._seed}/{name}"),
            cluster=ClusterState(
                parse_settings(dumps(settings | location | agent_settings)),
                self.store,
                asyncio.get_running_loop().time,
                incarnation=f"incarnation-{number}",
                transport=MeteredTransport(self, name, domain),
            ),
        )
        spec = {"role": role, "state": "live", "control_address": address}
        agent_fields = server_fields | {"address": address} if is_agent else {}
        self.store.put("instances", name, spec | location | agent_fields)


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlFigures:
    """Mean and largest figure of the processes of one role.

    processor_share is the share of a core, without the cost of the network
    calls.
    """

    processor_share: tuple[float, float]
    bytes_per_s: tuple[float, float]
    client_calls_per_s: tuple[float, float]
    server_calls_per_s: tuple[float, float]


async def async_measure_fleet(
    gateways: int, agents: int, seed: int
) -> tuple[dict[str, ControlFigures], float]:
    """Return the figures by role, and the traffic between the regions.

    The traffic is that of the busier direction, in bytes per second.
    """
    fleet = ControlFleet(gateways, agents, seed)
    await fleet.async_run()
    traffic = fleet.traffic
    spent_ns = fleet.meter.spent_ns
    figures = {}
    for role, nodes in fleet.group_measured_nodes().items():
        if not nodes:
            continue
        figures[role] = ControlFigures(
            processor_share=_compute_mean_and_largest(
                nodes, lambda name: spent_ns[name] / 1e9
            ),
            bytes_per_s=_compute_mean_and_largest(
                nodes, traffic.bytes.__getitem__
            ),
            client_calls_per_s=_compute_mean_and_largest(
                nodes, traffic.client_calls.__getitem__
            ),
            server_calls_per_s=_compute_mean_and_largest(
                nodes, traffic.server_calls.__getitem__
            ),
        )
    region = max(traffic.region_bytes.values(), default=0) / WINDOW_S
    return figures, region


def _compute_mean_and_largest(
    nodes: Sequence[Node], read_total: Callable[[str], float]
) -> tuple[float, float]:
    values = [read_total(node.name) / WINDOW_S for node in nodes]
    return sum(values) / len(values), max(values)


def _build_load_report(agent: Node) -> LoadReport:
    random = agent.random
    return LoadReport(
        backend_server=agent.name,
        incarnation=agent.cluster.incarnation,
        version="v1",
        running=random.randint(0, 64),
        queued=random.randint(0, 64),
        queued_work_s=random.uniform(0.0, 9.0),
        batch_limit=random.randint(8, 64),
        prefill_tokens_per_s=random.uniform(2e3, 2e4),
        decode_tokens_per_s=random.uniform(2e2, 2e3),
    )


def _build_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:7000"
