"""Time to apply a configuration change, and control traffic of a node.

A change is in force when the last process of the fleet has applied it.
"""

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
from bench.sync_model import paused_garbage_collection
from bench.sync_model import STORE_REGION
from bench.virtual_time import run_virtual

SIZES = (10, 30, 100, 330)
AGENTS_AT_LARGEST = 600
CUSTOMERS = 1700
IN_FORCE_BOUND_S = 8.0
TRAFFIC_BOUND_BYTES_PER_S = 21_000.0
# All nodes have made their first Sync calls by then.
WARM_UP_S = 2.5
TIMEOUT_S = 60.0
PARTITION_S = 5.0
MAX_WATCH_DELAY_S = 0.02
TRAFFIC_WINDOW_S = 8.0
FIRST_REVISION = 1000
PACKET_LOSS = NetworkFaults(retransmitted_share=0.05, lost_call_share=0.01)


SCENARIOS = ("plain", "loss", "dead_relay", "partition")
# Sizes at which short polling is measured as a baseline: a change then waits
# for the next call at each level between store and process.
SHORT_POLLING_SIZES = (10, 30, 100)


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area, measured in virtual time."""
    with paused_garbage_collection():
        return _run_sizes(seed)


def _run_sizes(seed: int) -> list[BenchRow]:
    rows: list[BenchRow] = []
    for size in SIZES:
        agents = AGENTS_AT_LARGEST if size == max(SIZES) else 0
        figures = run_virtual(
            async_measure_changes(size, agents, seed, SCENARIOS)
        )
        short_polling: dict[str, float] = {}
        if size in SHORT_POLLING_SIZES:
            short_polling = run_virtual(
                async_measure_changes(
                    size, agents, seed, SCENARIOS[:1], uses_long_polling=False
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
                    {"polling": round(short_polling[scenario], 3)}
                    if scenario in short_polling
                    else {}
                ),
                ok=figure_s <= IN_FORCE_BOUND_S,
            )
            for scenario, figure_s in figures.items()
        ]
        rows += run_virtual(_async_measure_traffic(size, agents, seed))
    return rows


def _build_configuration(change_number: int) -> dict[str, object]:
    """Return configuration items; change_number alters one customer."""
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
    items[key] = {
        "name": "customer-0007",
        "rate_limit_per_s": change_number + 1,
    }
    return items


async def async_measure_changes(
    size: int,
    agents: int,
    seed: int,
    scenarios: Sequence[str],
    *,
    uses_long_polling: bool = True,
) -> dict[str, float]:
    """Return by scenario the seconds until all processes have a change."""
    network = Network(size, agents, seed, uses_long_polling=uses_long_polling)
    items = _build_configuration(0)
    for node in network.nodes.values():
        node.replica.accept(DocumentName.CONFIGURATION, items, FIRST_REVISION)
    network.start()
    await asyncio.sleep(WARM_UP_S)
    figures = {}
    for number, scenario in enumerate(scenarios, 1):
        network.faults = PACKET_LOSS if scenario == "loss" else NO_FAULTS
        if scenario == "partition":
            figure_s = await _async_measure_partition(network, number, seed)
        else:
            if scenario == "dead_relay":
                _find_root_relay(network).is_alive = False
            start_s = _deliver_change(network, number, seed)
            figure_s = await _async_wait_in_force(network, start_s) - start_s
        figures[scenario] = figure_s
    return figures


async def _async_measure_partition(
    network: Network, number: int, seed: int
) -> float:
    """Return the seconds until a change is in force, for the slower region.

    They count from the change in the region of the store, and from the end
    of the partition in the other region.
    """
    network.is_partitioned = True
    await asyncio.sleep(WARM_UP_S)
    start_s = _deliver_change(network, number, seed)
    await asyncio.sleep(PARTITION_S)
    network.is_partitioned = False
    last_s = await _async_wait_in_force(network, start_s)
    store_region_s = max(
        node.in_force_s or TIMEOUT_S
        for node in network.living()
        if node.region == STORE_REGION
    )
    return max(store_region_s - start_s, last_s - start_s - PARTITION_S)


def _find_root_relay(network: Network) -> ModelNode:
    """Return the relay at the top of the tree of Sync calls."""
    return next(
        node for node in network.relays() if not node.place().exchanges_digest
    )


def _deliver_change(network: Network, number: int, seed: int) -> float:
    """Send a change to the relays, as their watches do; return its time."""
    random = Random(f"{seed}/{number}")
    loop = asyncio.get_running_loop()
    items = _build_configuration(number)
    for node in network.living():
        node.in_force_s = None
    for relay in network.relays():
        delay_s = random.uniform(0.0, MAX_WATCH_DELAY_S)
        if network.is_partitioned and relay.region != STORE_REGION:
            delay_s = PARTITION_S + random.uniform(0.0, MAX_BACKOFF_S)
        loop.call_later(
            delay_s,
            partial(relay.accept_store_update, items, FIRST_REVISION + number),
        )
    return loop.time()


async def _async_wait_in_force(network: Network, start_s: float) -> float:
    """Return the time at which the last process applied the change.

    Returns TIMEOUT_S after start_s if one of them has not applied it.
    """
    for _ in range(round(TIMEOUT_S / 0.1)):
        times = [node.in_force_s for node in network.living()]
        if None not in times:
            return max(time for time in times if time is not None)
        await asyncio.sleep(0.1)
    return start_s + TIMEOUT_S


async def _async_measure_traffic(
    size: int, agents: int, seed: int
) -> list[BenchRow]:
    """Return the rows of bytes and messages per second of a gateway.

    Sent and received messages count. During a rollout of one request class,
    each gateway has new evidence for two versions at each Sync interval, and
    each agent has a new load report.
    """
    network = Network(size, agents, seed)
    network.start(updates_digests=True)
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
