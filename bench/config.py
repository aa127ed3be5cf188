"""Time until a change is in force, and the control traffic of a node."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from random import Random

from azurewick.control.documents import DocumentName
from azurewick.control.replica import ROLE_AGENT
from azurewick.membership.watcher import MAX_BACKOFF_S
from bench.models import BenchRow
from bench.sync_model import ModelNode
from bench.sync_model import Network
from bench.sync_model import NetworkFaults
from bench.sync_model import NO_FAULTS
from bench.sync_model import paused_collector
from bench.sync_model import STORE_REGION
from bench.virtual_time import run_virtual

SIZES = (10, 30, 100, 330)
AGENTS_AT_LARGEST = 600
CUSTOMERS = 1700
IN_FORCE_BOUND_S = 8.0
TRAFFIC_BOUND_BYTES_PER_S = 21_000.0
# All nodes have made their first calls by then.
WARM_UP_S = 2.5
GIVE_UP_S = 60.0
PARTITION_S = 5.0
WATCH_DELAY_S = 0.02
TRAFFIC_WINDOW_S = 8.0
REVISION = 1000
LOSS = NetworkFaults(resent_share=0.05, lost_call_share=0.01)


SCENARIOS = ("plain", "loss", "dead_relay", "partition")
# Without held calls a change waits for the next call on each level.
POLLING_SIZES = (10, 30, 100)


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area; it takes virtual time."""
    with paused_collector():
        return _run_sizes(seed)


def _run_sizes(seed: int) -> list[BenchRow]:
    rows: list[BenchRow] = []
    for size in SIZES:
        agents = AGENTS_AT_LARGEST if size == max(SIZES) else 0
        figures = run_virtual(
            async_measure_changes(size, agents, seed, SCENARIOS)
        )
        polling: dict[str, float] = {}
        if size in POLLING_SIZES:
            polling = run_virtual(
                async_measure_changes(
                    size, agents, seed, SCENARIOS[:1], holds_calls=False
                )
            )
        rows += [
            BenchRow(
                name=f"config.in_force.{size}.{scenario}",
                seed=seed,
                figure=round(figure_s, 3),
                unit="s",
                bound=IN_FORCE_BOUND_S,
                baseline=(
                    {"polling": round(polling[scenario], 3)}
                    if scenario in polling
                    else {}
                ),
                ok=figure_s <= IN_FORCE_BOUND_S,
            )
            for scenario, figure_s in figures.items()
        ]
        rows += run_virtual(_async_measure_traffic(size, agents, seed))
    return rows


def _build_configuration(changed: int) -> dict[str, object]:
    """Return the items of a configuration in which one customer differs."""
    random = Random(1)
    items: dict[str, object] = {
        f"customers/customer-{number:04d}": {
            "name": f"customer-{number:04d}",
            "classes": ["quick-answer", "long-draft"],
            "key_hashes": [f"sha256:{random.getrandbits(256):064x}"],
            "rate_limit_per_s": 100.0,
            "burst_requests": 200.0,
        }
        for number in range(CUSTOMERS)
    }
    key = "customers/customer-0007"
    items[key] = {"name": "customer-0007", "rate_limit_per_s": changed + 1}
    return items


async def async_measure_changes(
    size: int,
    agents: int,
    seed: int,
    scenarios: Sequence[str],
    *,
    holds_calls: bool = True,
) -> dict[str, float]:
    """Return for each fault the time until the last process has a change."""
    network = Network(size, agents, seed, holds_calls=holds_calls)
    items = _build_configuration(0)
    for node in network.nodes.values():
        node.replica.accept(DocumentName.CONFIGURATION, items, REVISION)
    network.start()
    await asyncio.sleep(WARM_UP_S)
    figures = {}
    for number, scenario in enumerate(scenarios, 1):
        network.faults = LOSS if scenario == "loss" else NO_FAULTS
        if scenario == "partition":
            figure_s = await _async_measure_partition(network, number, seed)
        else:
            if scenario == "dead_relay":
                _find_top(network).is_alive = False
            start_s = _deliver(network, number, seed)
            figure_s = await _async_wait(network, start_s) - start_s
        figures[scenario] = figure_s
    return figures


async def _async_measure_partition(
    network: Network, number: int, seed: int
) -> float:
    """Return the time to be in force on the worse side of a partition.

    It counts from the change for the region of the store and from the end
    of the partition for the other.
    """
    network.is_partitioned = True
    await asyncio.sleep(WARM_UP_S)
    start_s = _deliver(network, number, seed)
    await asyncio.sleep(PARTITION_S)
    network.is_partitioned = False
    last_s = await _async_wait(network, start_s)
    near_s = max(
        node.in_force_s or GIVE_UP_S
        for node in network.living()
        if node.region == STORE_REGION
    )
    return max(near_s - start_s, last_s - start_s - PARTITION_S)


def _find_top(network: Network) -> ModelNode:
    """Return the gateway above all others."""
    return next(
        node for node in network.relays() if not node.place().exchanges_digest
    )


def _deliver(network: Network, number: int, seed: int) -> float:
    """Bring a change to the relays, as their watches do; return its time."""
    random = Random(f"{seed}/{number}")
    loop = asyncio.get_running_loop()
    items = _build_configuration(number)
    for node in network.living():
        node.in_force_s = None
    for relay in network.relays():
        delay_s = random.uniform(0.0, WATCH_DELAY_S)
        if network.is_partitioned and relay.region != STORE_REGION:
            delay_s = PARTITION_S + random.uniform(0.0, MAX_BACKOFF_S)
        loop.call_later(
            delay_s, partial(relay.take_from_store, items, REVISION + number)
        )
    return loop.time()


async def _async_wait(network: Network, start_s: float) -> float:
    """Return when the last process had the change."""
    for _ in range(round(GIVE_UP_S / 0.1)):
        times = [node.in_force_s for node in network.living()]
        if None not in times:
            return max(time for time in times if time is not None)
        await asyncio.sleep(0.1)
    return start_s + GIVE_UP_S


async def _async_measure_traffic(
    size: int, agents: int, seed: int
) -> list[BenchRow]:
    """Return bytes and messages a second, in and out, of each node.

    A rollout of one class runs, so each gateway has new evidence for two
    versions in each interval, and each agent a new load report.
    """
    network = Network(size, agents, seed)
    network.start(changes_loads=True)
    await asyncio.sleep(TRAFFIC_WINDOW_S)
    rows = []
    for kind, counts, unit, bound in (
        ("bytes", network.bytes, "B/s", TRAFFIC_BOUND_BYTES_PER_S),
        ("messages", network.messages, "1/s", None),
    ):
        gateways = [
            count
            for name, count in counts.items()
            if not name.startswith(ROLE_AGENT)
        ]
        for measure, total in (
            ("largest", max(gateways)),
            ("mean", sum(gateways) / len(gateways)),
        ):
            figure = total / TRAFFIC_WINDOW_S
            rows.append(
                BenchRow(
                    name=f"config.{kind}.{size}.{measure}",
                    seed=seed,
                    figure=round(figure, 1),
                    unit=unit,
                    bound=bound,
                    ok=bound is None or figure <= bound,
                )
            )
    return rows
