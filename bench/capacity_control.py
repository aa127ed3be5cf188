"""Processor time, bytes and messages of the control part by fleet size.

All processes run the real cluster state in one event loop in virtual time;
the processor time of each step is charged to the process that it is for.
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
from bench.capacity_fit import OWNER
from bench.capacity_fit import ProcessorMeter
from bench.counting_store import CountingStore
from bench.sync_model import DOMAINS
from bench.sync_model import LATENCY_S
from bench.sync_model import OVERHEAD_BYTES
from bench.sync_model import REGION_LATENCY_S

SIZES = ((20, 36), (60, 109), (150, 273), (330, 600))
POOLS = 15
REQUESTS_PER_S_PER_GATEWAY = 7800 / 330
WARM_UP_S = 8.0
WINDOW_S = 8.0
# An agent reads its own load in each tick.
TICK_INTERVAL_S = 0.25
EVIDENCE_INTERVAL_S = 2.0
# Only these gateways besides the relays have routers that take the loads;
# the routers of all would take several GB.
MEASURED_GATEWAYS = 20
SPEC = {
    "pools": [
        {"name": f"pool-{number:02d}", "kind": "model"}
        for number in range(POOLS)
    ],
    "classes": [{"name": "quick", "pool": "pool-00", "tier": 0}],
    "customers": [{"name": "customer-1", "classes": ["quick"]}],
}


@dataclass(kw_only=True, slots=True)
class Traffic:
    """Bytes and calls of each process, and bytes between the regions."""

    bytes: Counter[str] = field(default_factory=Counter)
    client_calls: Counter[str] = field(default_factory=Counter)
    server_calls: Counter[str] = field(default_factory=Counter)
    region_bytes: Counter[str] = field(default_factory=Counter)

    def clear(self) -> None:
        """Forget what was counted until now."""
        for counter in (
            self.bytes,
            self.client_calls,
            self.server_calls,
            self.region_bytes,
        ):
            counter.clear()


@dataclass(kw_only=True, slots=True)
class Node:
    """Process of the fleet."""

    name: str
    role: str
    domain: str
    pool: str
    cluster: ClusterState
    random: Random
    routers: dict[str, LeastCostRouter] = field(default_factory=dict)


class MeteredTransport:
    """Calls processes of the fleet and charges the answer to the callee."""

    def __init__(self, fleet: ControlFleet, name: str, domain: str) -> None:
        self._fleet = fleet
        self._name = name
        self._domain = domain

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Return the answer of a process."""
        fleet = self._fleet
        callee = fleet.nodes[address]
        is_far = DOMAINS[callee.domain] != DOMAINS[self._domain]
        delay_s = REGION_LATENCY_S if is_far else LATENCY_S
        fleet.traffic.client_calls[self._name] += 1
        fleet.traffic.server_calls[callee.name] += 1
        self._count(request.ByteSize(), callee, self._domain, is_far)
        await asyncio.sleep(delay_s)
        token = OWNER.set(callee.name)
        try:
            reply = await fleet.meter.async_run(
                callee.name, callee.cluster.async_answer(request)
            )
        finally:
            OWNER.reset(token)
        self._count(reply.ByteSize(), callee, callee.domain, is_far)
        await asyncio.sleep(delay_s)
        return reply

    def close(self) -> None:
        """Do nothing; there is no connection."""

    def _count(
        self, size: int, callee: Node, sender_domain: str, is_far: bool
    ) -> None:
        traffic = self._fleet.traffic
        total = size + OVERHEAD_BYTES
        traffic.bytes[self._name] += total
        traffic.bytes[callee.name] += total
        if is_far:
            traffic.region_bytes[DOMAINS[sender_domain]] += total


class ControlFleet:
    """Gateways and agents with their control part under peak load."""

    def __init__(self, gateways: int, agents: int, seed: int) -> None:
        self.meter = ProcessorMeter(asyncio.get_running_loop())
        self.traffic = Traffic()
        self.nodes: dict[str, Node] = {}
        self.store = CountingStore()
        self.store.put("configurations", "fleet", SPEC)
        self._seed = seed
        self._random = Random(seed)
        self._addresses = [_build_address(one) for one in range(gateways)]
        for number in range(gateways + agents):
            self._add(number, "gateway" if number < gateways else ROLE_AGENT)
        self._agents = [
            node for node in self.nodes.values() if node.role == ROLE_AGENT
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> None:
        """Start all processes, warm up and measure the window."""
        for node in self.nodes.values():
            copy_context().run(self._start, node)
        await asyncio.sleep(WARM_UP_S / 2)
        for node in self._choose_measured():
            self._add_routers(node)
        await asyncio.sleep(WARM_UP_S / 2)
        self.traffic.clear()
        self.meter.reset()
        await asyncio.sleep(WINDOW_S)
        self.meter.switch("")

    def measured(self) -> dict[str, list[Node]]:
        """Return the measured processes by role."""
        gateways = self._choose_measured()
        return {
            "gateway": [one for one in gateways if not one.cluster.is_relay],
            "relay": [one for one in gateways if one.cluster.is_relay],
            "agent": self._agents,
        }

    def _choose_measured(self) -> list[Node]:
        gateways = [
            node for node in self.nodes.values() if node.role != ROLE_AGENT
        ]
        relays = [one for one in gateways if one.cluster.is_relay]
        others = [one for one in gateways if not one.cluster.is_relay]
        return relays + others[:MEASURED_GATEWAYS]

    def _start(self, node: Node) -> None:
        OWNER.set(node.name)
        loops = [node.cluster.async_start()]
        if node.role == ROLE_AGENT:
            loops.append(self._async_share_load(node))
        else:
            loops += [self._async_share_evidence(node), self._async_ask(node)]
        self._tasks += [asyncio.create_task(loop) for loop in loops]

    def _add_routers(self, node: Node) -> None:
        for pool in (f"pool-{number:02d}" for number in range(POOLS)):
            router = LeastCostRouter(self._seed, DOMAINS[node.domain])
            servers = node.cluster.backend_servers(pool, 0.0)
            router.update_servers(servers)
            node.routers[pool] = router
            names = frozenset(server.name for server in servers)
            node.cluster.async_add_load_listener(
                partial(self._take_load, router, names)
            )

    def _take_load(
        self,
        router: LeastCostRouter,
        names: frozenset[str],
        report: LoadReport,
    ) -> None:
        if report.backend_server in names:
            router.record_report(report, asyncio.get_running_loop().time())

    async def _async_share_load(self, node: Node) -> None:
        """Share the load of an agent in each tick."""
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(node.random.uniform(0.0, TICK_INTERVAL_S))
        while True:
            node.cluster.record_load(_build_load(node), clock())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _async_ask(self, node: Node) -> None:
        """Take the load of an agent with each answer, as at peak load."""
        clock = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(
                node.random.expovariate(REQUESTS_PER_S_PER_GATEWAY)
            )
            agent = node.random.choice(self._agents)
            node.cluster.record_load(_build_load(agent), clock())

    async def _async_share_evidence(self, node: Node) -> None:
        """Count the outcomes of two versions of one class."""
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

    def _add(self, number: int, role: str) -> None:
        address = _build_address(number)
        name = f"{role}-{number:04d}"
        domain = list(DOMAINS)[number % len(DOMAINS)]
        pool = f"pool-{number % POOLS:02d}"
        place = {"region": DOMAINS[domain], "failure_domain": domain}
        kind = {"pool": pool, "kind": "model", "version": "v1"}
        agent = role == ROLE_AGENT
        settings = {
            "role": role,
            "name": name,
            "address": address,
            "control_address": address,
            "store": {"url": "http://127.0.0.1:1"},
            "peers": self._random.sample(self._addresses, 3),
        }
        extra = {**kind, "backend_url": "http://127.0.0.1:1"} if agent else {}
        self.nodes[address] = Node(
            name=name,
            role=role,
            domain=domain,
            pool=pool,
            random=Random(f"{self._seed}/{name}"),
            cluster=ClusterState(
                parse_settings(dumps(settings | place | extra)),
                self.store,
                asyncio.get_running_loop().time,
                incarnation=f"incarnation-{number}",
                transport=MeteredTransport(self, name, domain),
            ),
        )
        spec = {"role": role, "state": "live", "control_address": address}
        listed = kind | {"address": address} if agent else {}
        self.store.put("instances", name, spec | place | listed)


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlFigures:
    """Figures of one role at one fleet size, mean and largest process.

    processor is the share of a core without the calls themselves.
    """

    processor: tuple[float, float]
    bytes_per_s: tuple[float, float]
    client_calls_per_s: tuple[float, float]
    server_calls_per_s: tuple[float, float]


async def async_measure_fleet(
    gateways: int, agents: int, seed: int
) -> tuple[dict[str, ControlFigures], float]:
    """Return the figures by role, and bytes/s of the busier region way."""
    fleet = ControlFleet(gateways, agents, seed)
    await fleet.async_run()
    traffic = fleet.traffic
    spent_ns = fleet.meter.spent_ns
    figures = {}
    for role, nodes in fleet.measured().items():
        if not nodes:
            continue
        figures[role] = ControlFigures(
            processor=_summarise(nodes, lambda name: spent_ns[name] / 1e9),
            bytes_per_s=_summarise(nodes, traffic.bytes.__getitem__),
            client_calls_per_s=_summarise(
                nodes, traffic.client_calls.__getitem__
            ),
            server_calls_per_s=_summarise(
                nodes, traffic.server_calls.__getitem__
            ),
        )
    region = max(traffic.region_bytes.values(), default=0) / WINDOW_S
    return figures, region


def _summarise(
    nodes: Sequence[Node], figure: Callable[[str], float]
) -> tuple[float, float]:
    values = [figure(node.name) / WINDOW_S for node in nodes]
    return sum(values) / len(values), max(values)


def _build_load(agent: Node) -> LoadReport:
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
