"""Capacity at the size of two years: slopes, residuals and budgets.

Figures are processor time where possible, since the machine may be busy.
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
from bench.capacity_control import SIZES
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
from bench.sync_model import OVERHEAD_BYTES
from bench.sync_model import paused_collector
from bench.virtual_time import run_virtual

PROCESSOR_BUDGET_PERCENT = 1.3
MEMORY_BUDGET_MB = 32.0
TRAFFIC_BUDGET_BYTES_PER_S = 21_000.0
REGION_BUDGET_BYTES_PER_S = 15e6 / 8
REQUESTS_PER_S = 7800.0
TOKENS_PER_S = 2.1e6
# A gateway or agent is one thread, so it can use one core.
CORES = {"gateway": 330.0, "agent": 600.0}
GATEWAYS = (10, 30, 100, 330)
POOL_SIZES = (5, 10, 20, 40)
PERCENT = 100.0
# What a gateway keeps for the control part, by part of capacity_memory.
GATEWAY_PARTS = (
    "digest_loads",
    "digest_evidence",
    "instances",
    "configuration",
    "poison",
)
AGENT_PARTS = ("instances", "configuration", "poison")


def run(seed: int) -> list[BenchRow]:
    """Return the rows of the area; it takes several minutes."""
    calls = measure_calls(seed)
    return [
        *_build_call_rows(calls, seed),
        *_run_model(calls, seed),
        *_build_floor_rows(calls, seed),
        *_run_memory(seed),
        *_run_real(seed),
        *(
            row
            for name, points in measure_decisions(seed).items()
            for row in build_series(f"decision.{name}", seed, points, "us")
        ),
        *_run_data(seed),
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


def _run_model(calls: CallCost, seed: int) -> list[BenchRow]:
    """Return the rows of the control part in virtual time."""
    by_role: dict[str, list[tuple[float, ControlFigures]]] = {}
    region = []
    for gateways, agents in SIZES:
        with paused_collector():
            figures, region_bytes = run_virtual(
                async_measure_fleet(gateways, agents, seed)
            )
        region.append((float(gateways), region_bytes))
        for role, one in figures.items():
            by_role.setdefault(role, []).append((float(gateways), one))
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
                    (size, _add_calls(one, index, calls))
                    for size, one in series
                ],
                "%",
                PROCESSOR_BUDGET_PERCENT if is_largest else None,
            )
            rows += build_series(
                f"model.{role}.bytes.{measure}",
                seed,
                [(size, one.bytes_per_s[index]) for size, one in series],
                "B/s",
                TRAFFIC_BUDGET_BYTES_PER_S if is_largest else None,
            )
            rows += build_series(
                f"model.{role}.calls.{measure}",
                seed,
                [
                    (
                        size,
                        one.client_calls_per_s[index]
                        + one.server_calls_per_s[index],
                    )
                    for size, one in series
                ],
                "1/s",
            )
    return rows


def _add_calls(one: ControlFigures, index: int, calls: CallCost) -> float:
    """Return percent of a core with the calls that carry the messages."""
    share = (
        one.processor[index]
        + one.client_calls_per_s[index] * calls.client.intercept
        + one.server_calls_per_s[index] * calls.server.intercept
    )
    return share * PERCENT


def _build_floor_rows(calls: CallCost, seed: int) -> list[BenchRow]:
    """Return the cost while all gateways shed requests of one pool.

    Each gateway confirms the floor at each agent again when the last
    confirmation ends. The figures are the calls times a call's cost.
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
    call_bytes = request.ByteSize() + reply.ByteSize() + 2 * OVERHEAD_BYTES
    rows: list[BenchRow] = []
    for role, sizes, cost_s in (
        ("agent", GATEWAYS, calls.server.intercept),
        ("gateway", POOL_SIZES, calls.client.intercept),
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


def _run_memory(seed: int) -> list[BenchRow]:
    points = measure_memory()
    rows = [
        row
        for name, series in points.items()
        for row in build_series(f"memory.{name}", seed, series, "MB")
    ]
    for role, parts in (("gateway", GATEWAY_PARTS), ("agent", AGENT_PARTS)):
        total = sum(points[part][-1][1] for part in parts)
        rows.append(
            build_row(
                f"memory.{role}_control", seed, total, "MB", MEMORY_BUDGET_MB
            )
        )
    return rows


def _run_real(seed: int) -> list[BenchRow]:
    """Return the rows of real gateways above one without control part."""
    figures = [
        (float(gateways), asyncio.run(async_measure_real(gateways, agents)))
        for gateways, agents in SIZES
    ]
    rows: list[BenchRow] = []
    for role in ("gateway", "relay"):
        rows += build_series(
            f"real.{role}.processor",
            seed,
            [
                (size, (one[role].processor - one["off"].processor) * PERCENT)
                for size, one in figures
            ],
            "%",
            PROCESSOR_BUDGET_PERCENT,
        )
        rows += build_series(
            f"real.{role}.memory",
            seed,
            [
                (size, one[role].peak_mb - one["off"].peak_mb)
                for size, one in figures
            ],
            "MB",
            MEMORY_BUDGET_MB,
        )
    return rows


def _run_data(seed: int) -> list[BenchRow]:
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
    request_s = figures.request_line(hop).slope
    token_s = figures.token_line(hop).slope
    cores = REQUESTS_PER_S * request_s + TOKENS_PER_S * token_s
    rows += [
        build_row(f"{name}.idle", seed, figures.idle[hop] * PERCENT, "%"),
        build_row(f"{name}.request", seed, request_s * MICROSECONDS, "us"),
        build_row(f"{name}.token", seed, token_s * MICROSECONDS, "us"),
        build_row(f"{name}.requests_per_core", seed, 1 / request_s, "1/s"),
        build_row(f"{name}.tokens_per_core", seed, 1 / token_s, "1/s"),
        build_row(f"{name}.cores", seed, cores, "cores", CORES.get(hop)),
    ]
    return rows
