"""Memory of the data structures of a process by their number of entries."""

from __future__ import annotations

from collections.abc import Callable
import gc
from random import Random
import tracemalloc
from typing import Any

from azurewick.agent.ledger import DispatchLedger
from azurewick.configuration.snapshot import build_snapshot
from azurewick.control.digest import Digest
from azurewick.control.documents import Document
from azurewick.control.documents import join_configuration
from azurewick.control.documents import split_configuration
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import LoadReport
from azurewick.poison.detector import PoisonDetector
from azurewick.routing.estimator import OutputLengthPredictor
from azurewick.routing.selector import LeastCostRouter

MEGABYTE = 1e6


def build_configuration_spec(customers: int) -> dict[str, Any]:
    """Return a configuration of 15 pools with 3 classes each, and customers.

    The classes of a pool have the tiers 0, 1 and 2.
    """
    random = Random(customers)
    classes = [
        {
            "name": f"class-{pool:02d}-{tier}",
            "pool": f"pool-{pool:02d}",
            "tier": tier,
            "target": {"first_token_s": 1.9, "inter_token_s": 0.079},
        }
        for pool in range(15)
        for tier in range(3)
    ]
    names = [item["name"] for item in classes]
    return {
        "pools": [
            {"name": f"pool-{pool:02d}", "kind": "model"} for pool in range(15)
        ],
        "classes": classes,
        "customers": [
            {
                "name": f"customer-{number:04d}",
                "classes": random.sample(names, 3),
                "key_hashes": [f"sha256:{random.getrandbits(256):064x}"],
                "rate_limit_per_s": 100.0,
                "burst_requests": 200.0,
            }
            for number in range(customers)
        ],
    }


def build_instances(gateways: int, agents: int) -> dict[str, Any]:
    """Return instance specs by name, in five failure domains."""
    instances: dict[str, Any] = {}
    for number in range(gateways + agents):
        is_agent = number >= gateways
        role = "agent" if is_agent else "gateway"
        address = f"10.1.{number // 250}.{number % 250}:7000"
        instances[f"{role}-{number:04d}"] = {
            "role": role,
            "state": "live",
            "region": "lima" if number % 5 < 3 else "arequipa",
            "failure_domain": f"domain-{number % 5}",
            "control_address": address,
        } | (
            {
                "address": address,
                "pool": f"pool-{number % 15:02d}",
                "kind": "model",
                "version": "v1",
            }
            if is_agent
            else {}
        )
    return instances


def build_loads(agents: int) -> DigestPart:
    """Return a digest part with a load report of each agent."""
    return DigestPart(
        loads=tuple(
            LoadReport(
                backend_server=f"agent-{number:04d}",
                incarnation=f"{number:012x}",
                version="v1",
                running=number % 64,
                queued_work_s=number / 7.0,
                prefill_tokens_per_s=8000.0 + number,
                decode_tokens_per_s=900.0 + number,
            )
            for number in range(agents)
        )
    )


def build_evidence(gateways: int) -> DigestPart:
    """Return a digest part with counts of each gateway.

    They are counts of requests for two versions of one request class.
    """
    return DigestPart(
        evidence=tuple(
            EvidenceCount(
                gateway=f"gateway-{number:04d}",
                incarnation=f"{number:012x}",
                request_class="class-00-0",
                version=version,
                route="chat",
                requests=1000 + number,
            )
            for number in range(gateways)
            for version in ("v1", "v2")
        )
    )


def _build_digest(part: DigestPart) -> Digest:
    digest = Digest()
    digest.merge(part, "source", 0.0)
    digest.collect(0, excluded_source="", limit=1, now_s=10.0)
    return digest


def _build_view(instances: int) -> object:
    listed = build_instances(instances * 330 // 930, instances * 600 // 930)
    document = Document()
    document.replace(listed, 1)
    view = MembershipView()
    view.update_list(parse_instances(document.items), 1, 0.0)
    return document, view


def _build_configuration(customers: int) -> object:
    document = Document()
    document.replace(
        split_configuration(build_configuration_spec(customers)), 1
    )
    return document, build_snapshot(join_configuration(document.items), 1)


def _build_router(servers: int) -> object:
    view = MembershipView()
    specs = build_instances(0, servers)
    for spec in specs.values():
        spec["pool"] = "pool-00"
    view.update_list(parse_instances(specs), 1, 0.0)
    router = LeastCostRouter(1, "lima", "domain-0")
    router.update_servers(view.backend_servers("pool-00"))
    for report in build_loads(servers).loads:
        router.record_report(report, 0.0)
    return view, router


def _build_poison(fingerprints: int) -> PoisonDetector:
    detector = PoisonDetector()
    for number in range(fingerprints):
        detector.record_crash(
            f"agent-{number % 600}", f"{number % 600}", [f"{number:032x}"], 0.0
        )
    return detector


def _build_ledger(ids: int) -> DispatchLedger:
    ledger = DispatchLedger()
    for number in range(ids):
        request_id = f"gateway-0001/0123456789ab/{number}"
        ledger.admit(request_id, 0.0)
        ledger.dispatch(request_id)
        ledger.finish(request_id, ran=True, now_s=0.0)
    return ledger


def _build_predictor(histories: int) -> OutputLengthPredictor:
    predictor = OutputLengthPredictor()
    for number in range(histories):
        predictor.record(f"customer-{number // 3:04d}", f"c-{number % 3}", 100)
    return predictor


# Name, builder and sizes. The last size is that of the largest fleet or the
# limit of the data structure.
MEASURED_PARTS: tuple[
    tuple[str, Callable[[int], object], tuple[int, ...]], ...
] = (
    (
        "digest_loads",
        lambda agents: _build_digest(build_loads(agents)),
        (18, 55, 182, 600),
    ),
    (
        "digest_evidence",
        lambda gateways: _build_digest(build_evidence(gateways)),
        (10, 30, 100, 330),
    ),
    ("instances", _build_view, (93, 186, 465, 930)),
    ("configuration", _build_configuration, (100, 400, 800, 1700)),
    ("router", _build_router, (40, 120, 300, 600)),
    ("poison", _build_poison, (1000, 4000, 10_000, 20_000)),
    ("ledger", _build_ledger, (1000, 10_000, 40_000, 100_000)),
    ("predictor", _build_predictor, (500, 2000, 5100, 20_000)),
)


def measure_memory() -> dict[str, list[tuple[float, float]]]:
    """Return (size, MB) points of each data structure."""
    return {
        name: [(float(size), _measure(build, size)) for size in sizes]
        for name, build, sizes in MEASURED_PARTS
    }


def _measure(build: Callable[[int], object], size: int) -> float:
    # Build a small one first, so that one-time allocations are not counted.
    build(2)
    gc.collect()
    tracemalloc.start()
    try:
        structure = build(size)
        gc.collect()
        figure = tracemalloc.get_traced_memory()[0] / MEGABYTE
        del structure
    finally:
        tracemalloc.stop()
    return figure
