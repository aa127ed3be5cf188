"""Resource use of gateways and agents by fleet size, against budgets.

The largest fleet is the one expected within two years: 330 gateways, 600
agents and 1,700 customers. Each series of sizes gets a linear fit with its
slope and residual. Costs are given as processor time where possible, because
other load on the machine distorts elapsed time.
"""

from __future__ import annotations

import asyncio

from azurewick.const import LOWEST_TIER
from azurewick.control import control_pb2 as pb
from azurewick.gateway.shedding import CONFIRMATION_VALID_S
from bench.capacity_calls import CallCost
from bench.capacity_calls import measure_calls
from bench.capacity_control import async_measure_fleet
from bench.capacity_control import ControlFigures
from bench.capacity_control import FLEET_SIZES
from bench.capacity_data import async_measure_data
from bench.capacity_data import DataFigures
from bench.capacity_data import HOPS
from bench.capacity_decisions import measure_decisions
from bench.capacity_fit import build_row
from bench.capacity_fit import build_series
from bench.capacity_fit import MICROSECONDS
from bench.capacity_memory import measure_memory
from bench.capacity_real import async_measure_real
from bench.models import BenchRow
from bench.sync_model import MESSAGE_OVERHEAD_BYTES
from bench.sync_model import paused_garbage_collection
from bench.virtual_time import run_virtual

# Budgets of the control plane, for each process and for the traffic between
# the regions.
PROCESSOR_BUDGET_PERCENT = 1.3
MEMORY_BUDGET_MB = 32.0
TRAFFIC_BUDGET_BYTES_PER_S = 21_000.0
REGION_BUDGET_BYTES_PER_S = 15e6 / 8  # 15 Mbit/s
# Peak load of the whole fleet.
PEAK_REQUESTS_PER_S = 7800.0
PEAK_OUTPUT_TOKENS_PER_S = 2.1e6
# Cores that each role can use in the fleet: a gateway or agent is a single
# thread, so it uses one core at most.
CORE_BUDGETS = {"gateway": 330.0, "agent": 600.0}
GATEWAY_COUNTS = (10, 30, 100, 330)
POOL_SIZES = (5, 10, 20, 40)
PERCENT = 100.0
# Parts of capacity_memory that a process keeps for the control plane.
GATEWAY_MEMORY_PARTS = (
    "digest_loads",
    "digest_evidence",
    "instances",
    "configuration",
    "poison",
)
AGENT_MEMORY_PARTS = ("instances", "configuration", "poison")


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area; this takes several minutes."""
    calls = measure_calls(seed)
    return [
        *_build_call_rows(calls, seed),
        *_build_model_rows(calls, seed),
        *_build_floor_rows(calls, seed),
        *_build_memory_rows(seed),
        *_build_real_rows(seed),
        *(
            row
            for name, points in measure_decisions(seed).items()
            for row in build_series(f"decision.{name}", seed, points, "us")
        ),
        *_build_data_rows(seed),
    ]


def _build_call_rows(calls: CallCost, seed: int) -> list[BenchRow]:
    rows: list[BenchRow] = []
    for side, points in (
        ("client", calls.client_points),
        ("server", calls.server_points),
    ):
        scaled = [(size, cost * MICROSECONDS) for size, cost in points]
        rows += build_series(f"call.{side}", seed, scaled, "us")
    return rows


def _build_model_rows(calls: CallCost, seed: int) -> list[BenchRow]:
    """Return the rows of the control plane, simulated in virtual time."""
    by_role: dict[str, list[tuple[float, ControlFigures]]] = {}
    region = []
    for gateways, agents in FLEET_SIZES:
        with paused_garbage_collection():
            figures, region_bytes = run_virtual(
                async_measure_fleet(gateways, agents, seed)
            )
        region.append((float(gateways), region_bytes))
        for role, role_figures in figures.items():
            by_role.setdefault(role, []).append(
                (float(gateways), role_figures)
            )
    rows = build_series(
        "model.region.bytes", seed, region, "B/s", REGION_BUDGET_BYTES_PER_S
    )
    for role, series in by_role.items():
        for index, measure in enumerate(("mean", "largest")):
            is_largest = measure == "largest"
            rows += build_series(
                f"model.{role}.processor.{measure}",
                seed,
                [
                    (
                        size,
                        _compute_processor_percent(role_figures, index, calls),
                    )
                    for size, role_figures in series
                ],
                "%",
                PROCESSOR_BUDGET_PERCENT if is_largest else None,
            )
            rows += build_series(
                f"model.{role}.bytes.{measure}",
                seed,
                [
                    (size, role_figures.bytes_per_s[index])
                    for size, role_figures in series
                ],
                "B/s",
                TRAFFIC_BUDGET_BYTES_PER_S if is_largest else None,
            )
            rows += build_series(
                f"model.{role}.calls.{measure}",
                seed,
                [
                    (
                        size,
                        role_figures.client_calls_per_s[index]
                        + role_figures.server_calls_per_s[index],
                    )
                    for size, role_figures in series
                ],
                "1/s",
            )
    return rows


def _compute_processor_percent(
    figures: ControlFigures, index: int, calls: CallCost
) -> float:
    """Return percent of a core, with the cost of the calls added.

    The simulation handles the messages without network calls, so the
    measured cost of a call is added for each one made or answered.
    """
    share = (
        figures.processor_share[index]
        + figures.client_calls_per_s[index] * calls.client_fit.intercept
        + figures.server_calls_per_s[index] * calls.server_fit.intercept
    )
    return share * PERCENT


def _build_floor_rows(calls: CallCost, seed: int) -> list[BenchRow]:
    """Return the cost of admission floors while all gateways shed.

    All gateways shed requests of one pool. Each renews the admission floor
    at each agent of the pool when the last confirmation expires. The
    figures are calculated: the rate of calls times the cost of a call.
    """
    request = pb.AdmissionFloorRequest(
        pool="pool-00",
        floor_tier=LOWEST_TIER,
        hold_ms=5000,
        gateway="gateway-0001",
    )
    reply = pb.AdmissionFloorReply(
        floor_tier=LOWEST_TIER, incarnation="0" * 32
    )
    call_bytes = (
        request.ByteSize() + reply.ByteSize() + 2 * MESSAGE_OVERHEAD_BYTES
    )
    rows: list[BenchRow] = []
    for role, sizes, cost_s in (
        ("agent", GATEWAY_COUNTS, calls.server_fit.intercept),
        ("gateway", POOL_SIZES, calls.client_fit.intercept),
    ):
        rates = [(float(size), size / CONFIRMATION_VALID_S) for size in sizes]
        rows += build_series(
            f"floor.{role}.processor",
            seed,
            [(size, rate * cost_s * PERCENT) for size, rate in rates],
            "%",
            PROCESSOR_BUDGET_PERCENT,
        )
        rows += build_series(
            f"floor.{role}.bytes",
            seed,
            [(size, rate * call_bytes) for size, rate in rates],
            "B/s",
            TRAFFIC_BUDGET_BYTES_PER_S,
        )
    return rows


def _build_memory_rows(seed: int) -> list[BenchRow]:
    points = measure_memory()
    rows = [
        row
        for name, series in points.items()
        for row in build_series(f"memory.{name}", seed, series, "MB")
    ]
    for role, parts in (
        ("gateway", GATEWAY_MEMORY_PARTS),
        ("agent", AGENT_MEMORY_PARTS),
    ):
        total = sum(points[part][-1][1] for part in parts)
        rows.append(
            build_row(
                f"memory.{role}_control", seed, total, "MB", MEMORY_BUDGET_MB
            )
        )
    return rows


def _build_real_rows(seed: int) -> list[BenchRow]:
    """Return what the control plane adds to real gateway processes.

    The figures are differences from a gateway without control plane.
    """
    figures = [
        (float(gateways), asyncio.run(async_measure_real(gateways, agents)))
        for gateways, agents in FLEET_SIZES
    ]
    rows: list[BenchRow] = []
    for role in ("gateway", "relay"):
        rows += build_series(
            f"real.{role}.processor",
            seed,
            [
                (
                    size,
                    (
                        by_role[role].processor_share
                        - by_role["off"].processor_share
                    )
                    * PERCENT,
                )
                for size, by_role in figures
            ],
            "%",
            PROCESSOR_BUDGET_PERCENT,
        )
        rows += build_series(
            f"real.{role}.memory",
            seed,
            [
                (size, by_role[role].peak_mb - by_role["off"].peak_mb)
                for size, by_role in figures
            ],
            "MB",
            MEMORY_BUDGET_MB,
        )
    return rows


def _build_data_rows(seed: int) -> list[BenchRow]:
    measured = asyncio.run(async_measure_data())
    rows: list[BenchRow] = []
    for mode, figures in measured.items():
        for hop in HOPS:
            rows += _build_hop_rows(f"data.{mode}.{hop}", hop, figures, seed)
        rows.append(
            build_row(
                f"data.{mode}.bytes_per_token",
                seed,
                figures.bytes_per_token,
                "bytes",
            )
        )
        rows.append(
            build_row(
                f"data.{mode}.reads_per_token",
                seed,
                figures.reads_per_token,
                "reads",
            )
        )
        for name, (median, high) in figures.first_token_ratios.items():
            for measure, ratio in (("p50", median), ("p95", high)):
                rows.append(
                    build_row(
                        f"data.{mode}.first_token.{name}.{measure}",
                        seed,
                        ratio,
                        "times direct",
                    )
                )
    return rows


def _build_hop_rows(
    name: str, hop: str, figures: DataFigures, seed: int
) -> list[BenchRow]:
    rows: list[BenchRow] = []
    for kind, points in (
        ("requests", figures.by_requests[hop]),
        ("tokens", figures.by_tokens[hop]),
    ):
        scaled = [(size, cost_s * 1e3) for size, cost_s in points]
        rows += build_series(f"{name}.{kind}", seed, scaled, "ms")
    request_s = figures.fit_request_cost(hop).slope
    token_s = figures.fit_token_cost(hop).slope
    cores = (
        PEAK_REQUESTS_PER_S * request_s + PEAK_OUTPUT_TOKENS_PER_S * token_s
    )
    rows += [
        build_row(
            f"{name}.idle", seed, figures.idle_shares[hop] * PERCENT, "%"
        ),
        build_row(f"{name}.request", seed, request_s * MICROSECONDS, "us"),
        build_row(f"{name}.token", seed, token_s * MICROSECONDS, "us"),
        build_row(f"{name}.requests_per_core", seed, 1 / request_s, "1/s"),
        build_row(f"{name}.tokens_per_core", seed, 1 / token_s, "1/s"),
        build_row(
            f"{name}.cores", seed, cores, "cores", CORE_BUDGETS.get(hop)
        ),
    ]
    return rows
