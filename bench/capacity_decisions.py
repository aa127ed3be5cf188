"""Processor time of single decisions by the size that they depend on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count
from random import Random

from azurewick.admission.customer_limit import CustomerLimiter
from azurewick.admission.models import QueuedRequest
from azurewick.admission.tier_queue import TierQueue
from azurewick.configuration.snapshot import build_snapshot
from azurewick.control.documents import Document
from azurewick.control.documents import join_configuration
from azurewick.control.documents import split_configuration
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from azurewick.models import Customer
from azurewick.models import Offer
from azurewick.routing.affinity import prefix_hashes
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus
from azurewick.routing.selector import LeastCostRouter
from bench.capacity_fit import measure_us
from bench.capacity_memory import build_configuration_spec
from bench.capacity_memory import build_instances
from bench.capacity_memory import build_loads

POOL_SIZES = (5, 20, 40, 120, 600)
QUEUE_LENGTHS = (16, 64, 256, 1024)
CUSTOMER_COUNTS = (100, 400, 800, 1700)
PROMPT_BYTES = (1000, 8000, 64_000, 512_000)
MEGABYTE = 1_000_000
# Requests that run at a time; the oldest ends when one more is sent.
RUNNING_REQUESTS = 16

Points = list[tuple[float, float]]


def measure_decisions(seed: int) -> dict[str, Points]:
    """Return (size, processor microseconds) points of each decision."""
    measures: dict[
        str, tuple[tuple[int, ...], Callable[[int, int], float]]
    ] = {
        "router_choice": (POOL_SIZES, _measure_router),
        "queue_offer_take": (QUEUE_LENGTHS, _measure_queue),
        "customer_limit": (CUSTOMER_COUNTS, _measure_customer_limiter),
        "prefix_hashes": (PROMPT_BYTES, _measure_prefix_hashes),
        "configuration_change": (
            CUSTOMER_COUNTS,
            _measure_configuration_change,
        ),
    }
    return {
        name: [(float(size), measure(size, seed)) for size in sizes]
        for name, (sizes, measure) in measures.items()
    }


def _measure_router(servers: int, seed: int) -> float:
    """Return the cost of choose, record_sent and record_result together."""
    view = MembershipView()
    specs = build_instances(0, servers)
    for spec in specs.values():
        spec["pool"] = "pool-00"
    view.update_list(parse_instances(specs), 1, 0.0)
    router = LeastCostRouter(seed, "lima", "domain-0")
    router.update_servers(view.backend_servers("pool-00"))
    for report in build_loads(servers).loads:
        router.record_report(report, 0.0)
    random = Random(seed)
    numbers = count()
    result = OfferResult(
        status=OfferStatus.FINISHED,
        first_token_s=0.2,
        duration_s=5.0,
        prompt_tokens=500,
        cached_tokens=100,
        output_tokens=269,
    )
    running: list[tuple[Offer, str]] = []

    def decide() -> None:
        number = next(numbers)
        now_s = number / 24
        offer = Offer(
            request_id=f"gateway-0001/0123456789ab/{number}",
            customer="customer-0001",
            request_class="class-00-0",
            tier=0,
            method="POST",
            path="/v1/chat/completions",
            budget_s=1.9,
            prompt_tokens=500,
            expected_output_tokens=269,
            prefix_hashes=(f"{random.randrange(200):016x}", f"{number:016x}"),
        )
        name = router.choose(
            offer, excluded=frozenset(), version=None, now_s=now_s
        )
        assert name is not None
        router.record_sent(offer, name, now_s)
        running.append((offer, name))
        if len(running) > RUNNING_REQUESTS:
            router.record_result(*running.pop(0), result, now_s)

    return measure_us(decide, 200)


def _measure_queue(length: int, seed: int) -> float:
    """Return the cost of adding and of taking a request, together."""
    queue = TierQueue(2 * length)
    random = Random(seed)
    numbers = count()
    template = QueuedRequest(
        request_id="", customer="", request_class="class-00-0", tier=0
    )

    def offer() -> None:
        queue.offer(
            replace(
                template,
                request_id=str(next(numbers)),
                customer=f"customer-{random.randrange(1700):04d}",
                tier=random.randrange(3),
                cost_s=random.uniform(0.01, 0.1),
            ),
            0.0,
        )

    def offer_and_take() -> None:
        offer()
        queue.take(9, 0.0)

    for _ in range(length):
        offer()
    return measure_us(offer_and_take, 300)


def _measure_customer_limiter(customers: int, seed: int) -> float:
    limiter = CustomerLimiter()
    random = Random(seed)
    configured = [
        Customer(
            name=f"customer-{number:04d}",
            key_hashes=frozenset(),
            classes=frozenset(),
            rate_limit_per_s=100.0,
            burst_requests=200.0,
        )
        for number in range(customers)
    ]
    for customer in configured:
        limiter.take(customer, 0.0)
    return measure_us(
        lambda: limiter.take(random.choice(configured), 1.0), 5000
    )


def _measure_prefix_hashes(size_bytes: int, seed: int) -> float:
    prompt = Random(seed).randbytes(size_bytes)
    return measure_us(partial(prefix_hashes, prompt), 50)


def _measure_configuration_change(customers: int, seed: int) -> float:
    """Return the cost of applying a change of one customer.

    The process merges the delta, validates the whole configuration and
    builds a snapshot of it.
    """
    before = split_configuration(build_configuration_spec(customers))
    after = dict(before)
    name = "customers/customer-0007"
    after[name] = {**before[name], "rate_limit_per_s": 7.0}
    source = Document()
    source.replace(before, 1)
    source.replace(after, 2)
    delta = source.delta_since(1)
    assert delta is not None
    target = Document()
    target.replace(before, 1)

    def apply() -> None:
        items = target.items_after(delta)
        assert items is not None
        build_snapshot(join_configuration(items), 2)

    return measure_us(apply, 10)
