"""Calls to the store in steady state and when all processes start at once.

The calls for claims are not included.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from json import dumps
from random import Random

from azurewick.control import control_pb2 as pb
from azurewick.control.documents import DocumentName
from azurewick.control.replica import ROLE_AGENT
from azurewick.lease.coordinator import LeaseCoordinator
from azurewick.membership.coordinator import ClusterState
from azurewick.settings.loader import parse_settings
from bench.counting_store import CountingStore
from bench.counting_store import READS_PER_S
from bench.counting_store import WRITES_PER_S
from bench.models import BenchRow
from bench.sync_model import DOMAINS
from bench.sync_model import LOCAL_LATENCY_S
from bench.sync_model import paused_garbage_collection
from bench.virtual_time import run_virtual

GATEWAYS = 330
AGENTS = 600
# All processes must be ready this long after a restart of the whole fleet.
RESTART_WINDOW_S = 5.0
STEADY_GATEWAYS = 50
STEADY_START_S = 10.0
STEADY_END_S = 70.0
LEASE_NAME = "version-moves"
CONFIGURATION_SPEC = {
    "pools": [{"name": "chat", "kind": "model"}],
    "classes": [{"name": "quick", "pool": "chat", "tier": 0}],
    "customers": [{"name": "customer-1", "classes": ["quick"]}],
}


class DirectWatchState(ClusterState):
    """Baseline: each gateway watches the store itself, not only relays."""

    def _choose_watches(self, now_s: float) -> Collection[DocumentName]:
        if self._settings.role == ROLE_AGENT:
            return ()
        return tuple(DocumentName)


class DirectTransport:
    """Transport that calls the other simulated processes by address."""

    def __init__(self, nodes: dict[str, ClusterState]) -> None:
        self._nodes = nodes

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Return the reply of the process at an address."""
        await asyncio.sleep(LOCAL_LATENCY_S)
        reply = await self._nodes[address].async_answer(request)
        await asyncio.sleep(LOCAL_LATENCY_S)
        return reply

    def close(self) -> None:
        """Do nothing; there is no connection."""


class StoreModel:
    """Gateways and agents that start at the same time on one store."""

    def __init__(
        self,
        gateways: int,
        agents: int,
        state_class: type[ClusterState],
        seed: int,
    ) -> None:
        self.store = CountingStore()
        self.store.put("configurations", "fleet", CONFIGURATION_SPEC)
        self.nodes: dict[str, ClusterState] = {}
        self._clock = asyncio.get_running_loop().time
        self._random = Random(seed)
        self._addresses = [_build_address(n) for n in range(gateways)]
        for number in range(gateways + agents):
            role = "gateway" if number < gateways else ROLE_AGENT
            self._add_node(number, role, state_class)
        self._leases = [
            self._build_lease(address) for address in self._addresses
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self, until_s: float) -> None:
        """Start all processes and run them for until_s seconds."""
        await asyncio.gather(
            *(node.async_start() for node in self.nodes.values())
        )
        self._tasks = [
            asyncio.create_task(lease.async_run()) for lease in self._leases
        ]
        await asyncio.sleep(until_s)

    def _build_lease(self, address: str) -> LeaseCoordinator:
        node = self.nodes[address]
        return LeaseCoordinator(
            self.store,
            LEASE_NAME,
            address,
            self._clock,
            is_candidate=lambda: node.is_relay,
        )

    def _add_node(
        self, number: int, role: str, state_class: type[ClusterState]
    ) -> None:
        address = _build_address(number)
        domain = list(DOMAINS)[number % len(DOMAINS)]
        location = {"region": DOMAINS[domain], "failure_domain": domain}
        server_fields = {"pool": "chat", "kind": "model", "version": "v1"}
        is_agent = role == ROLE_AGENT
        settings = {
            "role": role,
            "name": f"{role}-{number}",
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
        self.nodes[address] = state_class(
            parse_settings(dumps(settings | location | agent_settings)),
            self.store,
            self._clock,
            incarnation=f"incarnation-{number}",
            transport=DirectTransport(self.nodes),
        )
        spec = {"role": role, "state": "live", "control_address": address}
        agent_fields = server_fields | {"address": address} if is_agent else {}
        self.store.put(
            "instances", f"{role}-{number}", spec | location | agent_fields
        )


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area, measured in virtual time."""
    with paused_garbage_collection():
        return _run_measurements(seed)


def _run_measurements(seed: int) -> list[BenchRow]:
    reads, writes = run_virtual(_async_measure_steady(ClusterState, seed))
    direct_watch_reads, _ = run_virtual(
        _async_measure_steady(DirectWatchState, seed)
    )
    baseline = {"each_watches": direct_watch_reads}
    return [
        _build_row("steady.reads", seed, reads, "1/s", READS_PER_S, baseline),
        _build_row("steady.writes", seed, writes, "1/s", WRITES_PER_S),
        *run_virtual(_async_measure_restart(seed)),
    ]


async def _async_measure_steady(
    state_class: type[ClusterState], seed: int
) -> tuple[float, float]:
    """Return the mean reads and writes per second."""
    model = StoreModel(STEADY_GATEWAYS, 0, state_class, seed)
    await model.async_run(STEADY_END_S)
    seconds = range(int(STEADY_START_S), int(STEADY_END_S))
    return (
        sum(model.store.reads[second] for second in seconds) / len(seconds),
        sum(model.store.writes[second] for second in seconds) / len(seconds),
    )


async def _async_measure_restart(seed: int) -> list[BenchRow]:
    """Return the rows of a start of the whole fleet at once.

    They have the most calls in one second, the refused calls and the
    processes that are not ready after RESTART_WINDOW_S.
    """
    model = StoreModel(GATEWAYS, AGENTS, ClusterState, seed)
    await model.async_run(RESTART_WINDOW_S)
    store = model.store
    peak = max(store.reads.values())
    peak_writes = max(store.writes.values(), default=0)
    ready = sum(node.is_ready for node in model.nodes.values())
    missing = len(model.nodes) - ready
    return [
        _build_row("return.peak_reads", seed, peak, "1/s", READS_PER_S),
        _build_row(
            "return.peak_writes", seed, peak_writes, "1/s", WRITES_PER_S
        ),
        _build_row(
            "return.refused_calls", seed, store.refused_calls, "calls", 0
        ),
        _build_row("return.not_ready", seed, missing, "processes", 0),
    ]


def _build_row(
    name: str,
    seed: int,
    figure: float,
    unit: str,
    bound: float,
    baseline: dict[str, float] | None = None,
) -> BenchRow:
    return BenchRow(
        name=f"store.{name}",
        seed=seed,
        figure=round(figure, 3),
        unit=unit,
        bound=bound,
        baseline=baseline or {},
        ok=figure <= bound,
    )


def _build_address(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}:7000"
